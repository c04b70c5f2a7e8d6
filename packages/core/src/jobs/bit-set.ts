/** A set of tasks as the key-value store keeps it. */

/** A bit for each task, the lowest bit of a byte first. */
export class BitSet {
  constructor(public bytes: Uint8Array = new Uint8Array(0)) {}

  /** Whether the bit is set; bits beyond the bytes are not. */
  has(bit: number): boolean {
    return (((this.bytes[bit >> 3] ?? 0) >> (bit & 7)) & 1) === 1;
  }

  /** A copy with one more bit. */
  with(bit: number): BitSet {
    const bytes = new Uint8Array(Math.max(this.bytes.length, (bit >> 3) + 1));
    bytes.set(this.bytes);
    bytes[bit >> 3]! |= 1 << (bit & 7);
    return new BitSet(bytes);
  }
}
