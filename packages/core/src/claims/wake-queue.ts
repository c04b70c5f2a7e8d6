/** The wakes of one partition: the jobs that have waiting tasks, one wake for each however many tasks it has. */
import { type Job, jobOrder } from '../jobs/jobs';

/** Jobs in their order; sorted when they are read and something has changed. */
export class WakeQueue {
  #jobs: Job[] = [];
  readonly #posted = new Set<string>();
  #isSorted = true;

  /** Posts a wake; a job that has one keeps it. */
  post(job: Job): void {
    if (this.#posted.has(job.id)) return;
    this.#posted.add(job.id);
    this.#jobs.push(job);
    this.#isSorted = false;
  }

  /** Notes that the order of the jobs may have changed. */
  reorder(): void {
    this.#isSorted = false;
  }

  /** Drops all wakes. */
  clear(): void {
    this.#jobs = [];
    this.#posted.clear();
    this.#isSorted = true;
  }

  /** The jobs that have a wake, in the order of `jobOrder`. */
  jobs(): readonly Job[] {
    if (!this.#isSorted) {
      this.#jobs.sort(jobOrder);
      this.#isSorted = true;
    }
    return this.#jobs;
  }
}
