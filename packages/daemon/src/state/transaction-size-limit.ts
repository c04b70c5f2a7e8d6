// What one transaction may hold: the state service bounds its changes and its bytes.
import { type Change, type Condition, MAX_BODY_BYTES } from '@gingerlock/wire';

/** Bytes of a condition or a change beside its key and value, rounded up. */
const ENTRY_BYTES = 40;

/** Bytes of the frame around all of them, rounded up. */
const FRAME_BYTES = 64;

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function conditionBytes({ key }: Condition): number {
  return ENTRY_BYTES + jsonBytes(key);
}

function changeBytes(change: Change): number {
  if (!('put' in change)) return ENTRY_BYTES + jsonBytes(change.remove);
  return ENTRY_BYTES + jsonBytes(change.put) + jsonBytes(change.value);
}

/**
 * Twelve records that each are as large as a value may be do not fit one transaction: it was refused for good, and tried again
 * for ever.
 */
export class TransactionSizeLimit {
  #changes = 0;
  #bytes = FRAME_BYTES;

  constructor(
    readonly maxChanges: number,
    readonly maxBytes: number = MAX_BODY_BYTES,
  ) {}

  /** Counts these in if there is room for all of them; false: there is not, and nothing is counted. */
  add(conditions: readonly Condition[], changes: readonly Change[]): boolean {
    let bytes = this.#bytes;
    for (const condition of conditions) bytes += conditionBytes(condition);
    for (const change of changes) bytes += changeBytes(change);
    if (this.#changes + changes.length > this.maxChanges || bytes > this.maxBytes) return false;
    this.#changes += changes.length;
    this.#bytes = bytes;
    return true;
  }
}
