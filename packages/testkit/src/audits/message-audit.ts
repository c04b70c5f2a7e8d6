// Checks the size of the messages between controllers and workers.
import { decode, MAX_BODY_BYTES } from '@gingerlock/wire';
import type { AuditedWorld } from './audited-world';

/** A message takes at most this many times as many bytes in JSON as in MessagePack. */
const MAX_JSON_RATIO = 4;

/** Checks that each message has at most 64 KiB in JSON, as the protocol counts it. */
export class MessageAudit {
  /** The largest message that was measured, in bytes of JSON; small ones are not measured. */
  largestBytes = 0;

  constructor(readonly world: Pick<AuditedWorld, 'reportViolation'>) {}

  /** Checks a message that a worker has sent or received. */
  check(machine: string, body: Uint8Array): void {
    if (body.length * MAX_JSON_RATIO <= MAX_BODY_BYTES) return;
    const bytes = Buffer.byteLength(JSON.stringify(decode(body)));
    this.largestBytes = Math.max(this.largestBytes, bytes);
    if (bytes > MAX_BODY_BYTES) this.world.reportViolation('worker_message_too_large', `${machine}: ${bytes} bytes`);
  }
}
