import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Partitioner } from '../src/index';

const HOMES = ['north', 'south', 'east'];

/** Number of machines that each partition gets if `machines` machines are in the zone. */
function shares(zone: string, machines: number): number[] {
  const partitioner = new Partitioner(HOMES.length, HOMES);
  const counts = HOMES.map(() => 0);
  for (let i = 0; i < machines; i++) counts[partitioner.partitionOf(`m-${String(i).padStart(6, '0')}`, zone)]!++;
  return counts;
}

test('machines of a zone without a controller are shared evenly among all partitions', () => {
  for (const count of shares('west', 900)) assert.ok(Math.abs(count - 300) < 60, `${count} of 900`);
});

test('machines of a zone with a controller belong to the partition whose home is the zone', () => {
  HOMES.forEach((zone, partitionId) => assert.equal(shares(zone, 50)[partitionId], 50));
});
