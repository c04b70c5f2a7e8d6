// The leader learns from the owners on other controllers how many tasks the reports of workers can still list.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { capacityOf, type MachineStatus, NO_RESOURCES, type PartitionStatus } from '@gingerlock/core';
import { decodePeer, encodePeer, type PeerMessage } from '@gingerlock/peer';
import { machineStatusOf } from '../../core/test/fixtures';
import type { PartitionOwner } from '../src/owner/partition-owner';
import type { PeerChannel } from '../src/peers/peer-channel';
import { PartitionStatuses } from '../src/peers/partition-statuses';

const EMPTY = capacityOf({ cpus: 96, gpus: 8, memoryGb: 384 });

function machineOf(name: string, freeBytes: number, batchBytes: number): MachineStatus {
  const batch = { ...NO_RESOURCES, cpus: 1, reportBytes: batchBytes };
  const byPriority = [NO_RESOURCES, NO_RESOURCES, NO_RESOURCES, batch];
  return machineStatusOf(name, { free: { ...EMPTY, reportBytes: freeBytes }, byPriority });
}

/** Publishes the machines of partition 3 to one controller; returns the messages, decoded, that it gets. */
function publish(
  machines: readonly MachineStatus[],
  takesReportSpace: boolean,
  frameBytes = 65_536,
  sender = new PartitionStatuses(),
): PeerMessage[] {
  const sent: PeerMessage[] = [];
  const peers = {
    link: { frameBytes },
    sendBatch: (_node: string, messages: readonly PeerMessage[]) => {
      for (const message of messages) {
        const bytes = encodePeer(message);
        assert.ok(bytes.length <= frameBytes);
        sent.push(decodePeer(bytes));
      }
      return true;
    },
  } as unknown as PeerChannel;
  const status: PartitionStatus = {
    partitionId: 3,
    term: 9,
    revision: 11,
    machines,
    missing: NO_RESOURCES,
    running: [],
  };
  const owner = { partitionId: 3, status: () => status } as unknown as PartitionOwner;
  sender.publish(owner, 'node-1', 0, peers, { nodes: ['node-2'], takesReportSpace: () => takesReportSpace });
  return sent;
}

function received(statuses: PartitionStatuses, messages: readonly PeerMessage[]): readonly MachineStatus[] {
  for (const message of messages) {
    if (message.kind === 'ReportSpace') statuses.onReportSpace('node-1', message);
    else if (message.kind === 'PartitionStatus') statuses.onStatus(message, 0);
    else if (message.kind === 'PartitionStatusFragment') statuses.onFragment('node-1', message, 0);
  }
  return statuses.of(3)!.status.machines;
}

// Guards against a leader that assigns tasks by the cores of another controller's machine whose report is full.
test('a controller learns of full reports on the machines of others, and when they have space again', () => {
  const statuses = new PartitionStatuses();
  const sender = new PartitionStatuses();
  const machinesAfter = (machines: readonly MachineStatus[]): readonly MachineStatus[] =>
    received(statuses, publish(machines, true, 65_536, sender));
  assert.deepEqual(
    publish([machineOf('m-1', EMPTY.reportBytes, 0)], true, 65_536, sender).map(({ kind }) => kind),
    ['PartitionStatus'],
  );
  for (const freeBytes of [-40, 0, 1000, EMPTY.reportBytes - 20_000]) {
    const machines = [machineOf('m-1', freeBytes, 300), machineOf('m-2', EMPTY.reportBytes, 0)];
    const [full, other] = machinesAfter(machines);
    assert.equal(full!.free.reportBytes, freeBytes);
    assert.equal(full!.byPriority[3]!.reportBytes, 300);
    // Of a machine that is nearly empty, less may count as free, but never more.
    assert.ok(other!.free.reportBytes <= EMPTY.reportBytes && other!.free.reportBytes >= EMPTY.reportBytes / 2);
    assert.equal(other!.free.gpus, EMPTY.gpus);
  }
  const [empty] = machinesAfter([machineOf('m-1', EMPTY.reportBytes, 0)]);
  assert.ok(empty!.free.reportBytes >= EMPTY.reportBytes / 2);
});

// Guards against a message that controllers of an earlier version can't decode: they close the connection.
test('a controller that does not accept report space gets statuses alone, in the format of earlier versions', () => {
  const machines = Array.from({ length: 300 }, (_, i) => machineOf(`m-${i}`, 0, 60_000));
  const kinds = new Set(publish(machines, false, 4096).map(({ kind }) => kind));
  assert.deepEqual([...kinds], ['PartitionStatusFragment']);
  const all = received(new PartitionStatuses(), publish(machines, true, 4096));
  assert.ok(all.length === 300 && all.every(({ free }) => free.reportBytes === 0));
});
