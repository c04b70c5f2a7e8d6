// What audits see of a deployment, whether it is simulated or on loopback. Each audit adds what it alone needs.
import type { Controller } from '@gingerlock/daemon';
import type { JobSpec } from '@gingerlock/wire';
import type { Scheduler } from '../simulation/sim';
import type { SimStateService } from '../standins/state-service';
import type { SimWorker } from '../standins/worker';
import type { Invariant } from './invariants';

/** A deployment that is audited. */
export interface AuditedWorld {
  readonly sim: Scheduler;
  readonly state: SimStateService;
  /** By name of the machine. */
  readonly workers: ReadonlyMap<string, SimWorker>;
  readonly heartbeatIntervalMs: number;
  /** How long tasks may go on after their user got the answer that the job is cancelled. */
  readonly cancellationBoundMs: number;
  /** The job of this id, if any user has submitted it. */
  job(id: string): JobSpec | undefined;
  /** Notes that something happened, so that a test can show that its scenario brought it about. */
  recordOccurrence(what: string): void;
  reportViolation(rule: Invariant, detail: string): void;
}

/** One whose controllers and tasks can be looked into. */
export interface InspectableWorld extends AuditedWorld {
  /** The controllers; null where the process does not run. */
  readonly nodes: readonly { readonly name: string; readonly controller: Controller | null }[];
  /** The tasks that are on machines, with their machines. */
  runningTasks(): ReadonlyMap<string, string>;
}
