// The view that audits have of a deployment, simulated or on loopback. Each audit extends it by what it alone needs.
import type { Controller } from '@gingerlock/daemon';
import type { JobSpec } from '@gingerlock/wire';
import type { Scheduler } from '../simulation/sim';
import type { SimStateService } from '../standins/state-service';
import type { SimWorker } from '../standins/worker';
import type { Invariant } from './invariants';

/** A deployment under audit. */
export interface AuditedWorld {
  readonly sim: Scheduler;
  readonly state: SimStateService;
  /** By machine name. */
  readonly workers: ReadonlyMap<string, SimWorker>;
  readonly heartbeatIntervalMs: number;
  /** How long tasks may keep running after the user received the answer that the job is cancelled. */
  readonly cancellationBoundMs: number;
  /** The job with this id; undefined if no user has submitted it. */
  job(id: string): JobSpec | undefined;
  /** Counts an occurrence, so that a test can check that its scenario caused it. */
  recordOccurrence(what: string): void;
  reportViolation(rule: Invariant, detail: string): void;
}

/** An audited deployment whose controllers and running tasks can be inspected. */
export interface InspectableWorld extends AuditedWorld {
  /** All controllers; `controller` is null while the process is not running. */
  readonly nodes: readonly { readonly name: string; readonly controller: Controller | null }[];
  /** The machine of each running task, by task name. */
  runningTasks(): ReadonlyMap<string, string>;
}
