// A message between controllers of every kind, small and as large as a frame.
import type { PeerMessage } from '@gingerlock/peer';

const RESOURCES = { cpus: 1.5, gpus: 2, memoryGb: 0 };
const FRAGMENT = { partitionId: 1, term: 5, revision: 2 ** 40, sequence: 3, index: 0, fragmentCount: 2 };

function machines(count: number): Extract<PeerMessage, { kind: 'PartitionStatus' }>['machines'] {
  return Array.from({ length: count }, (_, index) => ({
    name: `m-${index}`,
    type: 'wadi-48',
    zone: 'amman-north',
    spot: true,
    agentEpoch: index,
    free: RESOURCES,
    byPriority: [RESOURCES, RESOURCES, RESOURCES, RESOURCES],
    images: ['img-1', 'img-2'],
    takesWork: true,
    draining: false,
    evictionNotice: false,
    isQuarantined: false,
    empty: true,
    emptyMs: 1,
    silentMs: 0,
  }));
}

function statusOf(count: number): PeerMessage {
  const running = Array.from({ length: count }, (_, index) => ({ job: `j-${index}`, tasks: index }));
  const head = { owner: 'node-1', partitionId: 1, term: 5, revision: 2 ** 40 };
  return { kind: 'PartitionStatus', ...head, machines: machines(count), missing: RESOURCES, running };
}

/** The messages. */
export const PEER_MESSAGES: readonly PeerMessage[] = [
  { kind: 'Hello', version: 7, node: 'node-1' },
  { kind: 'RevisionHint', revision: 2 ** 40 },
  { kind: 'JobCancelled', job: 'j-000007' },
  { kind: 'MachineDirectives', term: 3, drain: ['m-1'], gone: [] },
  { kind: 'MachineDirectives', term: 3, drain: Array<string>(50_000).fill('m-000001'), gone: [] },
  { kind: 'ConfirmationRequest', id: 'p-1', revision: 9 },
  { kind: 'Confirmation', id: 'p-1', confirms: true, contactAgeMs: 12.5 },
  { kind: 'OwnershipQuery', id: 'p-2', partitionId: 3, term: 9 },
  { kind: 'OwnershipAnswer', id: 'p-2', owns: false },
  { kind: 'Relay', id: 'p-4', from: 'a', to: 'b', body: Buffer.alloc(65_536, 1) },
  { kind: 'RelayAnswer', id: 'p-4', to: 'a', status: 200, body: Buffer.alloc(0) },
  { kind: 'PeerHeartbeat', contactAgeMs: 1e9, revision: 0 },
  { kind: 'BudgetRequest', id: 'p-5', writes: 12 },
  { kind: 'BudgetGrant', id: 'p-5', writes: 3 },
  statusOf(1),
  statusOf(2000),
  {
    kind: 'PartitionStatusFragment',
    owner: 'node-1',
    ...FRAGMENT,
    machines: machines(2),
    missing: RESOURCES,
    running: [],
  },
  {
    kind: 'ClaimList',
    ...FRAGMENT,
    machines: [
      { machine: 'm-1', held: [{ task: 'j-1/0', attempt: 2 ** 33, stage: 'running', runMs: 1.5, stopping: false }] },
      { machine: 'm-2', held: [] },
    ],
  },
  {
    kind: 'GroupReports',
    ...FRAGMENT,
    groups: [{ job: 'j-1', generation: 2, members: [{ rank: 0, phase: 'held', attempt: 4, reason: -1 }] }],
  },
  { kind: 'ReportSpace', ...FRAGMENT, machines: [{ machine: 'm-1', free: 12, byPriority: [1, 2, 3, 4] }] },
];
