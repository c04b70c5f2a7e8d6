import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { encode, MAX_BODY_BYTES, txnMap } from '@gingerlock/wire';
import { TransactionSizeLimit } from '../src/state/transaction-size-limit';

test('what a transaction has room for fits a request, however large its values are', () => {
  const entry = fc.record({ key: fc.stringMatching(/^[a-z0-9/]{1,100}$/), length: fc.nat(16_000) });
  fc.assert(
    fc.property(fc.array(entry, { maxLength: 20 }), fc.integer({ min: 3, max: 12 }), (entries, most) => {
      const sizeLimit = new TransactionSizeLimit(most);
      const taken = entries
        .map(({ key, length }) => ({
          condition: { key, version: 4_000_000_000 },
          change: { put: key, value: { b: 'x'.repeat(length) } },
        }))
        .filter(({ condition, change }) => sizeLimit.add([condition], [change]));
      assert.ok(taken.length <= most);
      const request = txnMap(
        taken.map((t) => t.condition),
        taken.map((t) => t.change),
      );
      assert.ok(encode(request).length <= MAX_BODY_BYTES);
      assert.ok(Buffer.byteLength(JSON.stringify(request)) <= MAX_BODY_BYTES);
    }),
    { seed: 391, numRuns: 200 },
  );
});
