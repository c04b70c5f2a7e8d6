import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { isRentable, machineTypesMap, machineTypesOf, readMachineTypes } from '../src/index';

const GOOD = {
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
const POSITIVE = ['cores', 'memory_gb', 'fetch_gb_per_s', 'price', 'low_price', 'ready_s'];

test('a type with an amount that makes no sense is named by field and not rented, and the others are', () => {
  const bad = fc.constantFrom<unknown>(0, -1, NaN, Infinity, null, undefined, '4', {});
  fc.assert(
    fc.property(fc.constantFrom(...POSITIVE), bad, (field, value) => {
      const { types, invalid } = readMachineTypes({
        breeds: [
          { ...GOOD, [field]: value },
          { ...GOOD, sku: 'other' },
        ],
      });
      assert.deepEqual(invalid, [{ type: 'box', field, why: 'not a positive number' }]);
      assert.deepEqual(types.map(isRentable), [false, true]);
      // What is stored of it is read again as the same.
      assert.deepEqual(machineTypesOf(machineTypesMap(types)), types);
    }),
    { seed: 5 },
  );
});

test('a type may be without accelerators and without a cache', () => {
  const { types, invalid } = readMachineTypes({ breeds: [{ ...GOOD, accelerators: 0, cache_gb: 0 }] });
  assert.deepEqual(invalid, []);
  assert.ok(isRentable(types[0]!));
});

test('a type that is listed twice, has no name or no zones is named', () => {
  const { types, invalid } = readMachineTypes({
    breeds: [GOOD, { ...GOOD, price: 1 }, { ...GOOD, sku: 7 }, null, { ...GOOD, sku: 'nowhere', yards: 'a' }],
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
