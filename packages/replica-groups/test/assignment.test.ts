// The leader's assignment asks for all machines of a group, and looks at none, as soon as fewer GPUs are free than the
// group needs in all. What happened: a group of three members of 4 GPUs waited while two machines with 4 free GPUs each
// stood idle. Why: with nothing held back for other teams, "would fewer GPUs than are held back stay free" is "are too
// few free", so the group counted as held back and no machine was searched. Two things followed. The free machines were
// not known as of use to the group, so that they were scaled in as idle, and work of lower priority never made way. In
// the runs that showed it the leader wrote `group unschedulable` with `missing: 3` while its statuses had two machines
// with `takesWork` and all GPUs free.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type AssignmentResult,
  assignTasks,
  type GroupPlanner,
  JobTable,
  type MachineStatus,
  NO_RESOURCES,
  ProbeSchedule,
  type Resources,
} from '@gingerlock/core';
import { jobRecord, PRIORITIES } from '@gingerlock/wire';
import { chooseMachines } from '../src/index';
import { BOX, CLUSTER_CONFIG, specOf } from './fixtures';

const TEAM = { name: 'red', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };
const CONFIG = { ...CLUSTER_CONFIG, teams: new Map([[TEAM.name, TEAM]]) };
const WHOLE_MACHINE: Resources = { cpus: 8, gpus: 4, memoryGb: 32 };
/** Three members, of which each takes a machine. */
const GROUP = specOf({ ...WHOLE_MACHINE, tasks: 3 });

const PLANNER: GroupPlanner = {
  mayPlace: () => true,
  isBackingOff: () => false,
  choose: (job, candidates) => chooseMachines(job, candidates, CONFIG.zones, null),
  holdsPartialCapacity: () => false,
};

/** A machine that is free, or full of work of that priority. */
function machineOf(name: string, usedBy: (typeof PRIORITIES)[number] | null): MachineStatus {
  return {
    name,
    type: BOX.name,
    zone: 'a',
    spot: false,
    agentEpoch: 1,
    free: usedBy === null ? WHOLE_MACHINE : NO_RESOURCES,
    byPriority: PRIORITIES.map((priority) => (priority === usedBy ? WHOLE_MACHINE : NO_RESOURCES)),
    images: [],
    takesWork: true,
    draining: false,
    evictionNotice: false,
    isQuarantined: false,
    empty: usedBy === null,
    emptyMs: 0,
    silentMs: 0,
  };
}

interface AssignOptions {
  readonly preempts?: boolean;
  readonly heldBack?: ReadonlyMap<string, number>;
}

function assignGroup(
  machines: readonly MachineStatus[],
  { preempts = true, heldBack }: AssignOptions = {},
): AssignmentResult {
  const jobs = new JobTable(
    () => 64,
    () => true,
  );
  const record = { spec: GROUP, acceptedAt: 0, cancelled: false, isCrashLooping: false, assignedRanges: [] };
  jobs.applyJob(GROUP.id, jobRecord.write({ final: null, ...record }), 1);
  return assignTasks({
    now: 0,
    probes: new ProbeSchedule(CONFIG),
    jobs: jobs.live.values(),
    statuses: [{ partitionId: 0, term: 1, revision: 0, machines, missing: NO_RESOURCES, running: [] }],
    pendingAssignments: [],
    clusterConfig: CONFIG,
    types: new Map([[BOX.name, BOX]]),
    maxAssignments: 12,
    preempts,
    heldBack: heldBack ?? null,
    groups: PLANNER,
  });
}

const missingOf = ({ unschedulable }: AssignmentResult): number[] => unschedulable.map(({ count }) => count);

test('a group that lacks one machine asks for one, and the machines that fit its other members are known', () => {
  const result = assignGroup([machineOf('m-1', null), machineOf('m-2', null)]);
  assert.deepEqual(missingOf(result), [1]);
  assert.deepEqual([...result.partlyFittingMachines].sort(), ['m-1', 'm-2']);
});

test('work of lower priority makes way for a group when too few GPUs are free', () => {
  const result = assignGroup([machineOf('m-1', null), machineOf('m-2', 'low'), machineOf('m-3', 'normal')]);
  assert.deepEqual(missingOf(result), []);
  assert.deepEqual(result.groups[0]?.members.map(({ machine }) => machine).sort(), ['m-1', 'm-2', 'm-3']);
});

test('a group that would use GPUs held back for another team asks for what lacks, not for all its machines', () => {
  const machines = ['m-1', 'm-2', 'm-3'].map((name) => machineOf(name, null));
  const result = assignGroup(machines, { preempts: false, heldBack: new Map([['blue', 4]]) });
  assert.deepEqual(result.groups, []);
  assert.deepEqual(missingOf(result), [1]);
  assert.deepEqual([...result.partlyFittingMachines].sort(), ['m-1', 'm-2', 'm-3']);
});

test('a group is placed on free machines beside those held back for another team', () => {
  const machines = ['m-1', 'm-2', 'm-3', 'm-4'].map((name) => machineOf(name, null));
  const result = assignGroup(machines, { preempts: false, heldBack: new Map([['blue', 4]]) });
  assert.deepEqual(missingOf(result), []);
  assert.equal(result.groups[0]?.members.length, 3);
});
