import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Partition } from '../src/index';

const HOMES = ['north', 'south', 'east'];

/** By partition: how many of so many machines of a zone it has. */
function shares(zone: string, machines: number): number[] {
  const parts = new Partition(HOMES.length, HOMES);
  const counts = HOMES.map(() => 0);
  for (let i = 0; i < machines; i++) counts[parts.of(`m-${String(i).padStart(6, '0')}`, zone)]!++;
  return counts;
}

test('machines of a zone without a controller are shared evenly among all partitions', () => {
  for (const count of shares('west', 900)) assert.ok(Math.abs(count - 300) < 60, `${count} of 900`);
});

test('machines of a zone with a controller belong to the partition that is at home there', () => {
  HOMES.forEach((zone, part) => assert.equal(shares(zone, 50)[part], 50));
});
