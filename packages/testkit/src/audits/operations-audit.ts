// What must hold in the faults that operators met beside the protocol: only machines at fault are quarantined, what
// fails is not retried without bound, and no rented machine is forgotten.
import type { MachineType } from '@gingerlock/wire';
import type { RentedMachine } from '../standins/cloud-records';
import type { InspectableWorld } from './audited-world';

/** What is audited of a deployment. */
export interface OperationsAuditedWorld extends InspectableWorld {
  /** Jobs that were submitted with a mistake, and how often tasks of them were started. */
  readonly brokenJobs: ReadonlyMap<string, { starts: number; firstStartAt: number | null }>;
  /** Machines that were at fault at any time. */
  readonly everUnhealthy: ReadonlySet<string>;
  readonly cloud: { readonly rented: readonly RentedMachine[] };
  machineType(name: string): MachineType | undefined;
}

/**
 * How often the tasks of a broken job may be started: so many times each until it counts as crash-looping, and one
 * probe in so many heartbeat intervals.
 */
const STARTS_PER_TASK = 3;
const PROBE_INTERVALS = 2;

/**
 * A machine that has not come up after this many times the usual boot is returned; more is allowed for changes of
 * leader.
 */
const MOST_BOOTS = 8;

/** Audits quarantine, retries and rented machines. */
export class OperationsAudit {
  /** Machines that were reported as quarantined though never at fault. */
  readonly #reportedHealthy = new Set<string>();
  /** Machines that were reported as never come up. */
  readonly #forgotten = new Set<string>();

  constructor(readonly world: OperationsAuditedWorld) {}

  /** A task of the job is on a machine now. */
  started(job: string): void {
    const { world } = this;
    const broken = world.brokenJobs.get(job);
    if (broken === undefined) return;
    broken.starts++;
    broken.firstStartAt ??= world.sim.now;
    const { tasks } = world.job(job)!;
    const probes = (world.sim.now - broken.firstStartAt) / (world.heartbeatIntervalMs * PROBE_INTERVALS);
    if (broken.starts > tasks * STARTS_PER_TASK + probes + 1) {
      world.reportViolation('retried_often', `${job} of ${tasks} tasks was started ${broken.starts} times`);
    }
  }

  /** Checks what only time can show; to be called periodically. */
  audit(quietAt: number): void {
    for (const { controller } of this.world.nodes) {
      for (const { claimTable } of controller?.owned() ?? []) {
        for (const machine of claimTable.machines.values()) {
          if (claimTable.isQuarantined(machine)) this.#checkQuarantined(machine.name);
        }
      }
    }
    this.#checkRented(quietAt);
  }

  #checkQuarantined(machine: string): void {
    const { world } = this;
    world.recordOccurrence('condemned');
    if (world.everUnhealthy.has(machine) || this.#reportedHealthy.has(machine)) return;
    this.#reportedHealthy.add(machine);
    world.reportViolation('condemned_healthy', machine);
  }

  #checkRented(quietAt: number): void {
    const { world } = this;
    const { now } = world.sim;
    for (const { name, type, state, bornAt } of world.cloud.rented) {
      const bootMs = (world.machineType(type)?.bootS ?? 0) * 1000;
      if (state !== 'booting' || now - Math.max(bornAt, quietAt) < bootMs * MOST_BOOTS) continue;
      if (this.#forgotten.has(name)) continue;
      this.#forgotten.add(name);
      world.reportViolation('forgotten_machine', `${name} is paid for and never came up`);
    }
  }
}
