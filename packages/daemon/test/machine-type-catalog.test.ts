import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type CloudMachine, isRentable, readMachineTypes } from '@gingerlock/wire';
import { SILENT } from '../src/index';
import { MachineTypeCatalog } from '../src/leader/machine-type-catalog';

const typeEntry = (sku: string, yards: readonly string[] = ['a', 'b']): unknown => ({
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

function catalogWithLog(): { catalog: MachineTypeCatalog; logged: string[] } {
  const logged: string[] = [];
  const error = (fields: unknown, message: string): void => void logged.push(`${message} ${JSON.stringify(fields)}`);
  return { catalog: new MachineTypeCatalog(['a', 'b'], { ...SILENT, error }), logged };
}

test('a type that a later list lacks stays in the catalog without a price while machines of it run', () => {
  const { catalog } = catalogWithLog();
  const first = catalog.read(readMachineTypes({ breeds: [typeEntry('one'), typeEntry('two')] }), [], () => true);
  const later = readMachineTypes({ breeds: [typeEntry('one')] });
  const kept = catalog.read(later, first, (type) => type === 'two');
  assert.deepEqual(
    kept.map((type) => [type.name, type.gpus, isRentable(type)]),
    [
      ['one', 4, true],
      ['two', 4, false],
    ],
  );
  assert.deepEqual(
    catalog.read(later, kept, () => false).map(({ name }) => name),
    ['one'],
  );
});

test('unknown zones of a type and machines of an unknown type or zone are dropped and logged once', () => {
  const { catalog, logged } = catalogWithLog();
  const list = readMachineTypes({ breeds: [typeEntry('one', ['a', 'moon'])] });
  for (let i = 0; i < 3; i++) catalog.read(list, [], () => true);
  assert.deepEqual(catalog.current.get('one')!.zones, ['a']);
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
      catalog.acceptedMachines(listed, (name) => name === 'm-3').map(({ name }) => name),
      ['m-1', 'm-3'],
    );
  }
  assert.equal(logged.length, 2);
});
