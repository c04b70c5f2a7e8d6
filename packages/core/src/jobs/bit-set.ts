/** A set of task indices as stored in the key-value store. */

/** A bit per task, with the lowest bit of each byte first. */
export class BitSet {
  constructor(public bytes: Uint8Array = new Uint8Array(0)) {}

  /** Whether the bit is set; bits beyond the end are not set. */
  has(bit: number): boolean {
    return (((this.bytes[bit >> 3] ?? 0) >> (bit & 7)) & 1) === 1;
  }

  /** Returns a copy in which the bit is set. */
  with(bit: number): BitSet {
    return this.withAll([bit]);
  }

  /** Returns one copy in which all of the bits are set. */
  withAll(bits: readonly number[]): BitSet {
    const lastBit = bits.reduce((last, bit) => Math.max(last, bit), -1);
    const bytes = new Uint8Array(Math.max(this.bytes.length, (lastBit >> 3) + 1));
    bytes.set(this.bytes);
    for (const bit of bits) bytes[bit >> 3]! |= 1 << (bit & 7);
    return new BitSet(bytes);
  }

  /** The bits that are set here and not in the other set; bytes that are equal are passed over as a whole. */
  *bitsBeyond(other: BitSet): Generator<number> {
    for (const [index, byte] of this.bytes.entries()) {
      const added = byte & ~(other.bytes[index] ?? 0);
      if (added === 0) continue;
      for (let bit = 0; bit < 8; bit++) if ((added >> bit) & 1) yield index * 8 + bit;
    }
  }
}
