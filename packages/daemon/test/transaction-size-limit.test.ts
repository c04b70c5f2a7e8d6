import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { encode, MAX_BODY_BYTES, transactionMap } from '@gingerlock/wire';
import { TransactionSizeLimit } from '../src/state/transaction-size-limit';

test('a transaction within its size limit fits a request, however large its values are', () => {
  const entry = fc.record({ key: fc.stringMatching(/^[a-z0-9/]{1,100}$/), length: fc.nat(16_000) });
  fc.assert(
    fc.property(fc.array(entry, { maxLength: 20 }), fc.integer({ min: 3, max: 12 }), (entries, maxChanges) => {
      const sizeLimit = new TransactionSizeLimit(maxChanges);
      const accepted = entries
        .map(({ key, length }) => ({
          condition: { key, version: 4_000_000_000 },
          change: { put: key, value: { b: 'x'.repeat(length) } },
        }))
        .filter(({ condition, change }) => sizeLimit.add([condition], [change]));
      assert.ok(accepted.length <= maxChanges);
      const request = transactionMap(
        accepted.map((entry) => entry.condition),
        accepted.map((entry) => entry.change),
      );
      assert.ok(encode(request).length <= MAX_BODY_BYTES);
      assert.ok(Buffer.byteLength(JSON.stringify(request)) <= MAX_BODY_BYTES);
    }),
    { seed: 391, numRuns: 200 },
  );
});
