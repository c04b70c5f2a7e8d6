// Records that the production version encoded. Both versions run side by side during an upgrade, so each must read and
// write exactly these bytes.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as wire from '../src/index';
import pinned from './production-records.json';

interface Format {
  readonly read: (value: unknown) => unknown;
  readonly write: (record: never) => unknown;
}

const FORMATS: Partial<Record<wire.ParsedKey['kind'], Format>> = {
  meta: wire.metaRecord,
  term: wire.termRecord,
  owner: wire.ownerRecord,
  hold: wire.holdRecord,
  confirmedTerm: wire.termRecord,
  job: wire.jobRecord,
  finished: wire.finishedRecord,
  membership: wire.membershipRecord,
};

for (const { name, key, value, bytes } of pinned.records) {
  test(`production record "${name}" is decoded and re-encoded to identical bytes`, () => {
    const format = FORMATS[wire.parseKey(key).kind]!;
    const stored = wire.decode(Buffer.from(bytes, 'hex'));
    assert.deepEqual(stored, value);
    const rewritten = format.write(format.read(stored) as never);
    assert.equal(wire.encode(rewritten).toString('hex'), bytes);
  });
}

test('every kind of key that the production version writes has a pinned record', () => {
  const kinds = new Set(pinned.records.map((record) => wire.parseKey(record.key).kind));
  assert.deepEqual([...kinds].sort(), Object.keys(FORMATS).sort());
});
