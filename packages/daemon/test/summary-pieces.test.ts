// Summaries of any size come out of their pieces as they went in, and no piece is larger than a frame.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type MachineRoom, NO_RESOURCES, type PartSummary } from '@gingerlock/core';
import { encodePeer, type PeerMessage, type PeerSummary } from '@gingerlock/peer';
import { SummaryAssembly, summaryMessages } from '../src/summary-pieces';

const resources = { cpus: 1, gpus: 2, memoryGb: 3 };

const machine = fc.record({
  name: fc.string({ maxLength: 20 }),
  images: fc.array(fc.string({ maxLength: 30 }), { maxLength: 9 }),
});

function roomOf({ name, images }: { name: string; images: string[] }): MachineRoom {
  return {
    name,
    type: 'box',
    zone: 'north',
    spot: false,
    session: 1,
    free: resources,
    byRank: [resources, NO_RESOURCES, NO_RESOURCES, resources],
    images,
    takesWork: true,
    draining: false,
    evictionNotice: false,
    unhealthy: false,
    empty: false,
    emptyMs: 0,
    silentMs: 5,
  };
}

const summary: fc.Arbitrary<PartSummary> = fc
  .record({
    machines: fc.array(machine, { maxLength: 60 }),
    running: fc.array(fc.tuple(fc.string({ maxLength: 12 }), fc.nat(1000)), { maxLength: 200 }),
  })
  .map(({ machines, running }) => ({
    partitionId: 3,
    term: 9,
    revision: 11,
    machines: machines.map(roomOf),
    missing: resources,
    running,
  }));

/** Larger than any generated machine. */
const FRAME_BYTES = 4096;

function assemble(assembly: SummaryAssembly, message: PeerMessage): PeerSummary | null {
  if (message.kind === 'Summary') return message;
  assert.equal(message.kind, 'SummaryPiece');
  return assembly.add(message as PeerMessage & { kind: 'SummaryPiece' });
}

function contentOf({ machines, running }: PeerSummary): unknown {
  return { machines, running: running.map(({ job, tasks }) => [job, tasks]) };
}

test('a summary of any size comes out of its messages, each of which fits a frame', () => {
  fc.assert(
    fc.property(summary, (told) => {
      const messages = summaryMessages(told, 'node-1', 1, FRAME_BYTES);
      const assembly = new SummaryAssembly();
      const whole = messages.map((message) => assemble(assembly, message));
      for (const message of messages) assert.ok(encodePeer(message).length <= FRAME_BYTES);
      assert.ok(whole.slice(0, -1).every((none) => none === null));
      assert.deepEqual(contentOf(whole.at(-1)!), { machines: told.machines, running: told.running });
    }),
    { seed: 391, numRuns: 200 },
  );
});

test('with pieces lost and repeated a summary is taken whole or not at all, and the next one is taken', () => {
  fc.assert(
    fc.property(summary, fc.array(fc.nat(5)), (told, copies) => {
      const first = summaryMessages(told, 'node-1', 1, FRAME_BYTES);
      const assembly = new SummaryAssembly();
      first.forEach((message, i) => {
        for (let n = 0; n < (copies[i] ?? 1); n++) {
          const whole = assemble(assembly, message);
          if (whole !== null) assert.deepEqual(contentOf(whole), { machines: told.machines, running: told.running });
        }
      });
      const second = summaryMessages(told, 'node-1', 2, FRAME_BYTES).map((message) => assemble(assembly, message));
      assert.deepEqual(contentOf(second.at(-1)!), { machines: told.machines, running: told.running });
    }),
    { seed: 391, numRuns: 200 },
  );
});
