// Checks quarantine, retries and rented machines: only unhealthy machines are quarantined, failing tasks have bounded
// retries, and rented machines that never come up are returned.
import type { MachineType } from '@gingerlock/wire';
import type { RentedMachine } from '../standins/cloud-records';
import type { InspectableWorld } from './audited-world';

/** The parts of a deployment that the operations audit reads. */
export interface OperationsAuditedWorld extends InspectableWorld {
  /** Jobs whose tasks always fail: how often their tasks were started and when first. */
  readonly brokenJobs: ReadonlyMap<string, { starts: number; firstStartAt: number | null }>;
  /** Machines that have been unhealthy at any time. */
  readonly everUnhealthy: ReadonlySet<string>;
  readonly cloud: { readonly rented: readonly RentedMachine[] };
  machineType(name: string): MachineType | undefined;
}

/** How often each task of a broken job may be started before the job counts as crash-looping. */
const STARTS_PER_TASK = 3;

/** A crash-looping job may be started as a probe once in this many heartbeat intervals. */
const PROBE_INTERVALS = 2;

/**
 * A machine must be returned if it has not come up within this multiple of its type's boot time. The multiple leaves
 * time for changes of leader.
 */
const MAX_BOOT_FACTOR = 8;

/** Audits quarantine, retries and rented machines. */
export class OperationsAudit {
  /** Machines already reported as quarantined although never unhealthy. */
  readonly #reportedHealthy = new Set<string>();
  /** Machines already reported as rented but never up. */
  readonly #reportedNeverUp = new Set<string>();

  constructor(readonly world: OperationsAuditedWorld) {}

  /** Counts a task start of the job and checks the bound on retries. */
  started(job: string): void {
    const { world } = this;
    const broken = world.brokenJobs.get(job);
    if (broken === undefined) return;
    broken.starts++;
    broken.firstStartAt ??= world.sim.now;
    const { tasks } = world.job(job)!;
    const probes = (world.sim.now - broken.firstStartAt) / (world.heartbeatIntervalMs * PROBE_INTERVALS);
    if (broken.starts > tasks * STARTS_PER_TASK + probes + 1) {
      world.reportViolation('retried_often', `${job} with ${tasks} tasks had ${broken.starts} task starts`);
    }
  }

  /** Checks quarantined and rented machines. Called periodically. */
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
    for (const { name, type, state, rentedAt } of world.cloud.rented) {
      const bootMs = (world.machineType(type)?.bootS ?? 0) * 1000;
      if (state !== 'booting' || now - Math.max(rentedAt, quietAt) < bootMs * MAX_BOOT_FACTOR) continue;
      if (this.#reportedNeverUp.has(name)) continue;
      this.#reportedNeverUp.add(name);
      world.reportViolation('forgotten_machine', `${name} is still rented and never came up`);
    }
  }
}
