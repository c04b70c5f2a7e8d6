// Stored records stay readable: what version 6c8b998 had stored at four moments of one day, with borrowing and replica
// groups on, is what controllers of these sources start on. A stored key or field that is renamed, dropped or read as
// another type breaks this test, and so does a change that reads old records and takes them for something else: then
// accepted jobs are forgotten, start over or never end.
//
// The data are the records of the simulated state service (keys, versions, values, leases, revision), the machines that
// were up, and what users had been told. No value in them is beyond what JSON can say. They are never made anew from
// later versions.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Log } from '@gingerlock/daemon';
import {
  decode,
  encode,
  GROUP_STATES,
  groupRecord,
  jobRecord,
  jobSpecOf,
  type JobSpec,
  type JobStatus,
  leaseMap,
  leaseIdOf,
  parseKey,
  reclaimRecord,
  STATE_PATHS,
} from '@gingerlock/wire';
import { World, type WorldOptions } from '../src/index';
import recording from './data/stored-records-6c8b998.json';

interface StoredRecord {
  readonly key: string;
  readonly version: number;
  readonly lease: number | null;
  readonly value: unknown;
}

interface AcceptedJob {
  /** As it was submitted, in the names of the wire. */
  readonly submission: unknown;
  /** What its user had last been told, if that was the end. */
  readonly final: string | null;
  readonly cancelAsked: boolean;
}

interface Moment {
  /** In milliseconds since the day began. */
  readonly at: number;
  readonly revision: number;
  /** The machines that were up, in the order of their names. */
  readonly machines: readonly { readonly name: string; readonly zone: string; readonly spot: boolean }[];
  readonly jobs: readonly AcceptedJob[];
  /** Names of the tasks that had completed. */
  readonly finishedTasks: readonly string[];
  readonly records: readonly StoredRecord[];
}

const OPTIONS: WorldOptions = recording.options;
const MOMENTS: readonly Moment[] = recording.moments;

/** Leases of the former processes last for so long, as nobody renews them. */
const FORMER_LEASE_MS = 6000;

/** From then on, after the controllers have started, nothing is left of the change that could excuse a delay. */
const QUIET_AFTER_MS = 30_000;
const FOR_MS = 200_000;

/** Puts the records into the state service as they were, under leases that run out. */
async function loadRecords({ state }: World, { records, revision }: Moment): Promise<void> {
  const leases = new Map<number, number>();
  for (const { key, version, lease, value } of records) {
    if (lease !== null && !leases.has(lease)) {
      const { body } = await state.handle('POST', STATE_PATHS.leases, encode(leaseMap(FORMER_LEASE_MS)), 'test');
      leases.set(lease, leaseIdOf(decode(body)));
    }
    state.data.set(key, { value, version, lease: lease === null ? null : leases.get(lease)! });
  }
  state.revision = revision;
  state.forgetEvents();
}

/** Boots the machines that were up at that moment, under the names that they had. */
function bootMachines(world: World, { machines }: Moment): void {
  const type = world.deployment.types[0]!;
  for (const { name, zone, spot } of machines) {
    // The cloud numbers its machines: those between are gone.
    while (world.cloud.boot(type, zone, spot, 0) < name) world.cloud.end(lastName(world), 'gone');
    assert.equal(lastName(world), name);
  }
}

function lastName(world: World): string {
  return world.cloud.rented.at(-1)!.name;
}

/** Lets the stand-ins know what became of the jobs before, as former processes and machines would have shown them. */
function adoptJobs(world: World, moment: Moment): void {
  const { users, workers, groups, borrowing, sim } = world;
  for (const { submission, cancelAsked } of moment.jobs) {
    const spec = jobSpecOf(submission);
    users.adopt(spec);
    if (cancelAsked) Object.assign(users.observedByJob.get(spec.id)!, { cancelAsked, cancelAt: 0 });
  }
  const [worker] = workers.values();
  for (const task of moment.finishedTasks) worker!.done(task);
  for (const { key, value, version } of moment.records) {
    const parsed = parseKey(key);
    if (parsed.kind === 'group') groups.seen.set(parsed.job, { record: groupRecord.read(value), version, at: sim.now });
    if (parsed.kind === 'reclaim') borrowing.stored.set(key, { record: reclaimRecord.read(value), since: sim.now });
  }
}

/** A world whose controllers all start at that moment, on what is stored; all machines are as after a restart. */
async function startOn(moment: Moment, log: Log): Promise<World> {
  const world = new World({ ...OPTIONS, machines: 0, log });
  for (const name of world.controllers) world.crash(name);
  bootMachines(world, moment);
  // Times in the records are not in the future.
  await world.sim.run(moment.at);
  await loadRecords(world, moment);
  adoptJobs(world, moment);
  for (const name of world.controllers) world.startNode(name);
  return world;
}

/** Runs on, with all that is checked on any day, while the users of all jobs ask for their ends. */
async function runOn(world: World, forMs: number): Promise<void> {
  const { sim, users } = world;
  world.quietAt = sim.now + QUIET_AFTER_MS;
  const audit = (): void => {
    world.audit();
    sim.after(200, audit);
  };
  audit();
  for (const id of users.observedByJob.keys()) void users.follow(id);
  await sim.run(sim.now + forMs);
}

/** The tasks that the records call finished, read here by their bytes: a bit for each task, the lowest first. */
function tasksStoredAsFinished({ records }: Moment): string[] {
  return records.flatMap(({ key, value }) => {
    const parsed = parseKey(key);
    if (parsed.kind !== 'finished') return [];
    assert.equal(parsed.page, 0);
    const bytes = Buffer.from((value as { b: string }).b, 'base64');
    const indexes = Array.from({ length: bytes.length * 8 }, (_, index) => index);
    return indexes.filter((index) => (bytes[index >> 3]! >> (index & 7)) & 1).map((index) => `${parsed.id}/${index}`);
  });
}

/** Keeps the names of the tasks that are on machines from now on. */
function watchStarts(world: World): Set<string> {
  const started = new Set<string>();
  const { onTask } = world;
  world.onTask = (task, machine) => {
    started.add(task);
    onTask.call(world, task, machine);
  };
  return started;
}

/** What the job's user has to have been told in the end; null: nothing final, as the job goes on. */
function expectedEnd({ final, cancelAsked }: AcceptedJob, { kind }: JobSpec): JobStatus | null {
  if (final === 'done' || final === 'cancelled') return final;
  if (cancelAsked) return 'cancelled';
  return kind === 'array' ? 'done' : null;
}

for (const moment of MOMENTS) {
  test(`controllers start on what version 6c8b998 had stored ${moment.at} ms into a day, and work goes on`, async () => {
    const unreadable: string[] = [];
    const log: Log = {
      error: (detail, message) => {
        if (message === 'unreadable record') unreadable.push(JSON.stringify(detail));
      },
      info: () => undefined,
      debug: () => undefined,
    };
    for (const { key } of moment.records) assert.notEqual(parseKey(key).kind, 'other', key);
    const world = await startOn(moment, log);
    const started = watchStarts(world);
    await runOn(world, FOR_MS);
    assert.deepEqual(unreadable, []);
    assert.deepEqual(world.violations, []);
    assert.deepEqual(
      tasksStoredAsFinished(moment).filter((task) => started.has(task)),
      [],
      'finished tasks start again',
    );
    for (const job of moment.jobs) {
      const spec = jobSpecOf(job.submission);
      const expected = expectedEnd(job, spec);
      assert.equal(world.users.observedByJob.get(spec.id)!.final, expected, spec.id);
      if (expected === null) assert.equal(world.tasksOn(spec.id), spec.tasks, `${spec.id} does not run whole`);
      if (expected === null && world.isGroup(spec.id))
        assert.ok(world.groups.serves(spec.id), `${spec.id} does not serve`);
    }
  });
}

test('the records have each kind that a day of a small deployment stores, in the states that they go through', () => {
  const kinds = new Set(MOMENTS.flatMap(({ records }) => records.map(({ key }) => parseKey(key).kind)));
  // 'finishedFrom' is missing: such pages are stored only once a limit of the state service has been lowered.
  const all = [
    'confirmedTerm',
    'finished',
    'group',
    'hold',
    'job',
    'membership',
    'meta',
    'owner',
    'reclaim',
    'term',
    'types',
  ];
  assert.deepEqual([...kinds].sort(), all);
  assert.ok(MOMENTS.flatMap(tasksStoredAsFinished).length > 0);
  const found = new Set<string>();
  for (const { key, value } of MOMENTS.flatMap(({ records }) => records)) {
    const { kind } = parseKey(key);
    if (kind === 'group') found.add(`group ${groupRecord.read(value).state}`);
    if (kind === 'reclaim') found.add(`reclaim by ${reclaimRecord.read(value).reason}`);
    if (kind !== 'job') continue;
    const record = jobRecord.read(value);
    if (record.final !== null) found.add(`job ${record.final}`);
    else if (record.cancelled) found.add('job being cancelled');
    else if (record.isCrashLooping) found.add('job crash looping');
    else found.add('job open');
  }
  const states = GROUP_STATES.map((state) => `group ${state}`);
  const jobs = ['job being cancelled', 'job cancelled', 'job crash looping', 'job done', 'job open'];
  assert.deepEqual([...found].sort(), [...states, ...jobs, 'reclaim by guarantee', 'reclaim by priority'].sort());
});
