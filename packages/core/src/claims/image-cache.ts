// A guess at which images a machine has cached: workers do not report it. The most recently used stands last.

export class ImageCache {
  readonly #sizesGb: Map<string, number>;

  /** `sizesGb`: by name, the images that are believed to be there. */
  constructor(sizesGb: Iterable<readonly [string, number]> = []) {
    this.#sizesGb = new Map(sizesGb);
  }

  has(image: string): boolean {
    return this.#sizesGb.has(image);
  }

  images(): string[] {
    return [...this.#sizesGb.keys()];
  }

  /** The image is being used: others make way for it, the least recently used first. */
  use(image: string, gb: number, limitGb: number): void {
    this.#sizesGb.delete(image);
    this.#sizesGb.set(image, gb);
    let totalGb = 0;
    for (const size of this.#sizesGb.values()) totalGb += size;
    for (const [name, size] of this.#sizesGb) {
      if (totalGb <= limitGb) break;
      if (name === image) continue;
      this.#sizesGb.delete(name);
      totalGb -= size;
    }
  }
}
