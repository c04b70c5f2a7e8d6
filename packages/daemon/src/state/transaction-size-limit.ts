// Limits of one transaction: the key-value store bounds its number of changes and its bytes.
import { type Change, type Condition, MAX_BODY_BYTES } from '@gingerlock/wire';

/** Upper bound of the bytes of a condition or a change beside its key and value. */
const ENTRY_BYTES = 40;

/** Upper bound of the bytes around all conditions and changes. */
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
 * Counts the changes and bytes of a transaction under construction. A transaction beyond a limit, even if each of its
 * changes fits alone, is rejected however often it is tried.
 */
export class TransactionSizeLimit {
  #changes = 0;
  #bytes = FRAME_BYTES;

  constructor(
    readonly maxChanges: number,
    /** Limit of the whole request. */
    readonly maxBytes: number = MAX_BODY_BYTES,
  ) {}

  /**
   * Adds the entries if the transaction stays within its limits with all of them. Otherwise adds none and returns
   * false.
   */
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
