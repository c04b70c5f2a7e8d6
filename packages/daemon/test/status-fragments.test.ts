// Statuses of any size are reassembled unchanged from their messages, and no message is larger than a frame.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type MachineStatus, NO_RESOURCES, type PartitionStatus } from '@gingerlock/core';
import { encodePeer, type PeerMessage, type PeerPartitionStatus } from '@gingerlock/peer';
import { machineStatusOf } from '../../core/test/fixtures';
import { StatusReassembler, statusMessages } from '../src/peers/status-fragments';

const resources = { cpus: 1, gpus: 2, memoryGb: 3, reportBytes: 0 };

const machine = fc.record({
  name: fc.string({ maxLength: 20 }),
  images: fc.array(fc.string({ maxLength: 30 }), { maxLength: 9 }),
});

function withImages({ name, images }: { name: string; images: string[] }): MachineStatus {
  const byPriority = [resources, NO_RESOURCES, NO_RESOURCES, resources];
  return machineStatusOf(name, { free: resources, byPriority, images });
}

const status: fc.Arbitrary<PartitionStatus> = fc
  .record({
    machines: fc.array(machine, { maxLength: 60 }),
    running: fc.array(fc.tuple(fc.string({ maxLength: 12 }), fc.nat(1000)), { maxLength: 200 }),
  })
  .map(({ machines, running }) => ({
    partitionId: 3,
    term: 9,
    revision: 11,
    machines: machines.map(withImages),
    missing: resources,
    running,
  }));

/** Larger than any generated machine. */
const FRAME_BYTES = 4096;

function assemble(reassembler: StatusReassembler, message: PeerMessage): PeerPartitionStatus | null {
  if (message.kind === 'PartitionStatus') return message;
  assert.equal(message.kind, 'PartitionStatusFragment');
  return reassembler.add(message);
}

function contentOf({ machines, running }: PeerPartitionStatus): unknown {
  return { machines, running: running.map(({ job, tasks }) => [job, tasks]) };
}

test('a status of any size is reassembled from its messages, each of which fits into a frame', () => {
  fc.assert(
    fc.property(status, (original) => {
      const messages = statusMessages(original, 'node-1', 1, FRAME_BYTES);
      const reassembler = new StatusReassembler();
      const results = messages.map((message) => assemble(reassembler, message));
      for (const message of messages) assert.ok(encodePeer(message).length <= FRAME_BYTES);
      assert.ok(results.slice(0, -1).every((result) => result === null));
      assert.deepEqual(contentOf(results.at(-1)!), { machines: original.machines, running: original.running });
    }),
    { seed: 391, numRuns: 200 },
  );
});

test('with fragments lost and repeated, a status is reassembled whole or not at all, and the next one is whole', () => {
  fc.assert(
    fc.property(status, fc.array(fc.nat(5)), (original, copyCounts) => {
      const first = statusMessages(original, 'node-1', 1, FRAME_BYTES);
      const reassembler = new StatusReassembler();
      first.forEach((message, i) => {
        for (let n = 0; n < (copyCounts[i] ?? 1); n++) {
          const assembled = assemble(reassembler, message);
          if (assembled !== null)
            assert.deepEqual(contentOf(assembled), { machines: original.machines, running: original.running });
        }
      });
      const second = statusMessages(original, 'node-1', 2, FRAME_BYTES).map((message) =>
        assemble(reassembler, message),
      );
      assert.deepEqual(contentOf(second.at(-1)!), { machines: original.machines, running: original.running });
    }),
    { seed: 391, numRuns: 200 },
  );
});
