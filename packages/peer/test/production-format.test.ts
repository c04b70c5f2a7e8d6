// Frames as the version in production encodes them, kept as bytes: avsc identifies a message by its position in the union
// and its fields by their order, so a controller of either version must produce and accept exactly these.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodePeer, encodePeer, PEER_VERSION } from '../src/index';
import pinned from './production-frames.json';

/** Shows bytes as the test data writes them, and drops prototypes. */
function plainOf(value: unknown): unknown {
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
  test(`production frame ${message.kind} is decoded, and encoded again to the byte`, () => {
    const decoded = decodePeer(Buffer.from(bytes, 'hex'));
    assert.deepEqual(plainOf(decoded), message);
    assert.equal(encodePeer(decoded).toString('hex'), bytes);
  });
}

test('controllers of the production version accept our link', () => {
  const hello = pinned.frames.find((frame) => frame.message.kind === 'Hello')!.message;
  assert.equal(PEER_VERSION, hello.version);
});
