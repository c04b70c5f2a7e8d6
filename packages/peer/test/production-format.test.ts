// Frames that the production version encoded. avsc identifies a message by its position in the union and fields by
// their order, so both versions must produce and accept exactly these bytes.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodePeer, encodePeer, PEER_VERSION } from '../src/index';
import pinned from './production-frames.json';

/** Converts a message to the form of the test data: buffers as hexadecimal text, objects without prototypes. */
function toTestData(value: unknown): unknown {
  return JSON.parse(
    JSON.stringify(value, (_key, inner: unknown) => {
      const buffer = inner as { type?: string; data?: number[] } | null;
      return buffer?.type === 'Buffer' && Array.isArray(buffer.data)
        ? { hex: Buffer.from(buffer.data).toString('hex') }
        : inner;
    }),
  );
}

for (const { message, bytes } of pinned.frames) {
  test(`production frame ${message.kind} is decoded and re-encoded to identical bytes`, () => {
    const decoded = decodePeer(Buffer.from(bytes, 'hex'));
    assert.deepEqual(toTestData(decoded), message);
    assert.equal(encodePeer(decoded).toString('hex'), bytes);
  });
}

test('the production version accepts connections of this version', () => {
  const hello = pinned.frames.find((frame) => frame.message.kind === 'Hello')!.message;
  assert.equal(PEER_VERSION, hello.version);
});
