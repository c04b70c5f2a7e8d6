/** An estimate of which images a machine has cached, because workers do not report it. */
import type { Job } from '../jobs/jobs';

/** The images that one machine is believed to have, the most recently used last. */
export class ImageCache {
  readonly #sizesGb: Map<string, number>;

  /** `sizesGb`: sizes of the images that the machine is believed to have, by name. */
  constructor(sizesGb: Iterable<readonly [string, number]> = []) {
    this.#sizesGb = new Map(sizesGb);
  }

  has(image: string): boolean {
    return this.#sizesGb.has(image);
  }

  /** The names of the images, the most recently used last. */
  images(): string[] {
    return [...this.#sizesGb.keys()];
  }

  /** Records a use of the image. Evicts the least recently used others while the total exceeds `limitGb`. */
  use(image: string, sizeGb: number, limitGb: number): void {
    this.#sizesGb.delete(image);
    this.#sizesGb.set(image, sizeGb);
    let totalGb = 0;
    for (const gb of this.#sizesGb.values()) totalGb += gb;
    for (const [name, gb] of this.#sizesGb) {
      if (totalGb <= limitGb) break;
      if (name === image) continue;
      this.#sizesGb.delete(name);
      totalGb -= gb;
    }
  }
}

/**
 * The cache of a machine as an earlier owner estimated it, limited to images that some job still uses. A wrong estimate
 * costs a fetch.
 */
export function cacheOfKnownImages(images: readonly string[], jobs: Iterable<Job>): ImageCache {
  const sizesGb = new Map<string, number>();
  for (const { spec } of jobs) sizesGb.set(spec.image, spec.imageGb);
  return new ImageCache(
    images.filter((image) => sizesGb.has(image)).map((image) => [image, sizesGb.get(image)!] as const),
  );
}
