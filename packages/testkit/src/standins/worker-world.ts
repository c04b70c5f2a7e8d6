// What a stand-in for a worker needs of its deployment, simulated or on loopback.
import type { Http } from '@gingerlock/clients';
import type { JobSpec } from '@gingerlock/wire';
import type { Handler, HostEventKind } from '../simulation/network';
import type { Scheduler } from '../simulation/sim';

/** The parts of the network that a worker uses. */
export interface WorkerNetwork {
  readonly hosts: { set(address: string, handler: Handler): unknown; delete(address: string): unknown };
  http(from: string, alive: () => boolean): Http;
  /** Runs an event on a host: at once, or when the host no longer hangs. */
  on(host: string, run: () => void, eventKind?: HostEventKind): void;
}

/** The parts of the deployment that a worker uses. */
export interface WorkerWorld {
  readonly sim: Scheduler;
  readonly network: WorkerNetwork;
  /** The names of all controllers. */
  readonly controllers: readonly string[];
  readonly heartbeatIntervalMs: number;
  readonly workerLeaseMs: number;
  /** Returns the job with this id; undefined: no user has submitted it. */
  job(id: string): JobSpec | undefined;
  /** Returns the address at which a machine's worker listens for commands; default: port 9000 of its name. */
  addressOf?(machine: string): string;
  /** Returns the time that a machine of the type takes to fetch the image of a job, in milliseconds. */
  fetchMs(job: JobSpec, type: string): number;
  /** Whether the job was submitted with a mistake, so that its tasks end with an error on every machine. */
  isBroken(id: string): boolean;
  /** Called when a task begins or stops running on the machine. */
  onTask(taskName: string, machine: string, attempt: number): void;
  offTask(taskName: string, machine: string): void;
  /** By task: its saved run time, in milliseconds. */
  readonly savedMs: ReadonlyMap<string, number>;
  /** Called when a task is stopped after running for `runMs`; `isSaved` tells whether its work was saved. */
  stoppedTask(taskName: string, runMs: number, isSaved: boolean): void;
  /** Called with each message that the worker sends to a controller or receives from one. */
  onMessage?(machine: string, body: Uint8Array): void;
  /** Called for each start command of an attempt that the worker does not have yet. */
  onCommanded(taskName: string, attempt: number, machine: string): void;
}
