import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { isRentable, machineTypesMap, machineTypesOf, readMachineTypes } from '../src/index';

const VALID_TYPE = {
  sku: 'box',
  cores: 8,
  accelerators: 4,
  memory_gb: 64,
  cache_gb: 100,
  fetch_gb_per_s: 2.5,
  price: 4,
  low_price: 1,
  ready_s: 30,
  yards: ['a'],
};
const POSITIVE_FIELDS = ['cores', 'memory_gb', 'fetch_gb_per_s', 'price', 'low_price', 'ready_s'];

test('a type with an invalid amount is reported with its field and not rentable, and other types are rentable', () => {
  const invalidAmount = fc.constantFrom<unknown>(0, -1, NaN, Infinity, null, undefined, '4', {});
  fc.assert(
    fc.property(fc.constantFrom(...POSITIVE_FIELDS), invalidAmount, (field, value) => {
      const { types, invalid } = readMachineTypes({
        breeds: [
          { ...VALID_TYPE, [field]: value },
          { ...VALID_TYPE, sku: 'other' },
        ],
      });
      assert.deepEqual(invalid, [{ type: 'box', field, why: 'not a positive number' }]);
      assert.deepEqual(types.map(isRentable), [false, true]);
      // Types that were read are unchanged by writing and reading them again.
      assert.deepEqual(machineTypesOf(machineTypesMap(types)), types);
    }),
    { seed: 5 },
  );
});

test('a type without accelerators and without a cache is rentable', () => {
  const { types, invalid } = readMachineTypes({ breeds: [{ ...VALID_TYPE, accelerators: 0, cache_gb: 0 }] });
  assert.deepEqual(invalid, []);
  assert.ok(isRentable(types[0]!));
});

test('a type that is listed twice, has no name or has no zones is reported', () => {
  const { types, invalid } = readMachineTypes({
    breeds: [
      VALID_TYPE,
      { ...VALID_TYPE, price: 1 },
      { ...VALID_TYPE, sku: 7 },
      null,
      { ...VALID_TYPE, sku: 'nowhere', yards: 'a' },
    ],
  });
  assert.deepEqual(
    types.map(({ name, price, zones }) => [name, price, zones]),
    [
      ['box', 4, ['a']],
      ['nowhere', 4, []],
    ],
  );
  assert.deepEqual(
    invalid.map(({ type, field }) => [type, field]),
    [
      ['box', 'sku'],
      [null, 'sku'],
      [null, 'sku'],
      ['nowhere', 'yards'],
    ],
  );
});
