import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type CloudMachine, isRentable, readMachineTypes } from '@gingerlock/wire';
import { SILENT } from '../src/index';
import { MachineTypeCatalog } from '../src/leader/machine-type-catalog';

const box = (sku: string, yards: readonly string[] = ['a', 'b']): unknown => ({
  sku,
  cores: 8,
  accelerators: 4,
  memory_gb: 64,
  cache_gb: 100,
  fetch_gb_per_s: 2.5,
  price: 4,
  low_price: 1,
  ready_s: 30,
  yards,
});

function offersWithLog(): { offers: MachineTypeCatalog; logged: string[] } {
  const logged: string[] = [];
  const error = (fields: unknown, message: string): void => void logged.push(`${message} ${JSON.stringify(fields)}`);
  return { offers: new MachineTypeCatalog(['a', 'b'], { ...SILENT, error }), logged };
}

test('a type that is gone from a later list is kept without a price while machines of it run', () => {
  const { offers } = offersWithLog();
  const first = offers.read(readMachineTypes({ breeds: [box('one'), box('two')] }), [], () => true);
  const later = readMachineTypes({ breeds: [box('one')] });
  const kept = offers.read(later, first, (type) => type === 'two');
  assert.deepEqual(
    kept.map((type) => [type.name, type.gpus, isRentable(type)]),
    [
      ['one', 4, true],
      ['two', 4, false],
    ],
  );
  assert.deepEqual(
    offers.read(later, kept, () => false).map(({ name }) => name),
    ['one'],
  );
});

test('unknown zones of a type and odd machines are left out and logged once', () => {
  const { offers, logged } = offersWithLog();
  const list = readMachineTypes({ breeds: [box('one', ['a', 'moon'])] });
  for (let i = 0; i < 3; i++) offers.read(list, [], () => true);
  assert.deepEqual(offers.current.get('one')!.zones, ['a']);
  assert.equal(logged.length, 1);
  const machine = (name: string, type: string, zone: string): CloudMachine => ({
    name,
    type,
    zone,
    addr: '',
    spot: false,
    state: 'running',
    ageS: 1,
  });
  const listed = [machine('m-1', 'one', 'a'), machine('m-2', 'none', 'a'), machine('m-3', 'one', 'moon')];
  for (let i = 0; i < 3; i++) {
    assert.deepEqual(
      offers.knownKinds(listed, (name) => name === 'm-3').map(({ name }) => name),
      ['m-1', 'm-3'],
    );
  }
  assert.equal(logged.length, 2);
});
