import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ClaimTable, MachineStatus } from '@gingerlock/core';
import type { ControllerContext } from '../src/controller/controller-context';
import { TermAnnouncements } from '../src/owner/term-announcements';
import type { WorkerCommandSender } from '../src/owner/worker-command-sender';

const TICK_MS = 100;
const HEARTBEAT_INTERVAL_MS = 1000;
const WORKER_LEASE_MS = 4000;

interface Announcement {
  readonly name: string;
  readonly knownAgentEpoch: number | undefined;
}

/** Announcements to `machineCount` machines, for each of which an earlier owner knew the agent epoch 7. */
function announcementsTo(machineCount: number): {
  tick: (now: number) => Announcement[];
  unconfirmed: Map<string, string>;
} {
  const names = Array.from({ length: machineCount }, (_, index) => `m-${index}`);
  const unconfirmed = new Map(names.map((name) => [name, `${name}:1`]));
  const sent: Announcement[] = [];
  const announcements = new TermAnnouncements(
    {
      clusterConfig: { heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS, workerLeaseMs: WORKER_LEASE_MS },
      tickMs: TICK_MS,
    } as unknown as ControllerContext,
    { unconfirmedMachines: unconfirmed } as unknown as ClaimTable,
    {
      announceTerm: (name: string, _addr: string, knownAgentEpoch: number | undefined) => {
        sent.push({ name, knownAgentEpoch });
        return Promise.resolve();
      },
    } as unknown as WorkerCommandSender,
    new Map(names.map((name) => [name, { agentEpoch: 7 } as MachineStatus])),
  );
  const tick = (now: number): Announcement[] => {
    announcements.tick(now);
    return sent.splice(0);
  };
  return { tick, unconfirmed };
}

test('each of many machines is sent one announcement within half a lease before any is sent a second', () => {
  const { tick } = announcementsTo(500);
  const sent: Announcement[] = [];
  for (let now = 0; now < WORKER_LEASE_MS / 2; now += TICK_MS) sent.push(...tick(now));
  assert.equal(sent.length, 500);
  assert.equal(new Set(sent.map(({ name }) => name)).size, 500);
});

test('the agent epochs that an earlier owner knew are used in the first cycle only', () => {
  const { tick } = announcementsTo(2);
  assert.deepEqual(
    tick(0).map(({ knownAgentEpoch }) => knownAgentEpoch),
    [7, 7],
  );
  assert.deepEqual(tick(HEARTBEAT_INTERVAL_MS), []);
  assert.deepEqual(
    tick(HEARTBEAT_INTERVAL_MS + TICK_MS).map(({ knownAgentEpoch }) => knownAgentEpoch),
    [undefined, undefined],
  );
});

test('a machine that has been confirmed since the cycle began is sent nothing', () => {
  const { tick, unconfirmed } = announcementsTo(9);
  assert.equal(tick(0).length, 8);
  unconfirmed.delete('m-8');
  assert.deepEqual(tick(TICK_MS), []);
});
