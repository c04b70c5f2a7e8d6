/** The wakes of one partition: one wake for each job with waiting tasks, however many tasks wait. */
import { type Job, jobOrder } from '../jobs/jobs';

/** The jobs that have a wake. They are sorted when they are read after a change. */
export class WakeQueue {
  #jobs: Job[] = [];
  readonly #posted = new Set<string>();
  #isSorted = true;

  /** Posts a wake for the job unless it has one. */
  post(job: Job): void {
    if (this.#posted.has(job.id)) return;
    this.#posted.add(job.id);
    this.#jobs.push(job);
    this.#isSorted = false;
  }

  /** Records that the order of the jobs may have changed. */
  reorder(): void {
    this.#isSorted = false;
  }

  /** Removes all wakes. */
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
