import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ClaimTable, Machine, TaskEntry } from '@gingerlock/core';
import { decode, decodeCommands, MAX_BODY_BYTES } from '@gingerlock/wire';
import { StepCounter } from '../../core/test/step-counter';
import type { ControllerContext } from '../src/controller/controller-context';
import { WorkerCommandSender } from '../src/owner/worker-command-sender';

/** Stops six tasks on each machine; returns the steps, which read a task, and how many requests were sent. */
function stopTasks(machineCount: number): { readonly steps: number; readonly requests: number } {
  const counter = new StepCounter(1e7);
  let requests = 0;
  const context = {
    clusterConfig: { heartbeatIntervalMs: 1000 },
    log: { debug: () => undefined },
    http: () => {
      requests++;
      return Promise.reject(new Error('not sent in this test'));
    },
  } as unknown as ControllerContext;
  const claimTable = { fencingToken: () => 1, machines: new Map() } as unknown as ClaimTable;
  const machines = Array.from({ length: machineCount }, (_, i) => ({ name: `m-${i}`, agentEpoch: 1 }) as Machine);
  const tasks = Array.from({ length: machineCount * 6 }, (_, i) => {
    const claim = { machine: machines[i % machineCount]!, attempt: i, stopGraceS: 0 };
    return counter.countReads({ name: `j-1/${i}`, claim } as unknown as TaskEntry);
  });
  new WorkerCommandSender(context, claimTable).stopAll(tasks);
  return { steps: counter.steps, requests };
}

// Guards against a cancellation of a huge array that looks at all of its tasks for each machine that runs one.
test('the steps of stopping tasks grow with the tasks, not with the machines too', () => {
  const few = stopTasks(200);
  const many = stopTasks(800);
  assert.deepEqual([few.requests, many.requests], [200, 800]);
  assert.ok(many.steps <= few.steps * 4.4, `${few.steps} and ${many.steps} steps`);
});

// Guards against a direct request with a stop for each of the tasks of a machine, which no worker accepts beyond 64 KiB.
test('the stops of all tasks on a machine go in requests of 64 KiB at most, each task once', () => {
  const bodies: Buffer[] = [];
  const context = {
    clusterConfig: { heartbeatIntervalMs: 1000 },
    log: { debug: () => undefined },
    http: (_addr: string, _method: string, _path: string, body: Buffer) => {
      bodies.push(body);
      return Promise.reject(new Error('not sent in this test'));
    },
  } as unknown as ControllerContext;
  const claimTable = { fencingToken: () => 2 ** 40, machines: new Map() } as unknown as ClaimTable;
  const machine = { name: 'm-1', agentEpoch: 1 } as Machine;
  const names = Array.from({ length: 1200 }, (_, i) => `j-000010/${i}`);
  const claim = { machine, attempt: 2 ** 40, stopGraceS: 7.5 };
  new WorkerCommandSender(context, claimTable).stopAll(names.map((name) => ({ name, claim }) as unknown as TaskEntry));
  for (const body of bodies) assert.ok(Buffer.byteLength(JSON.stringify(decode(body))) <= MAX_BODY_BYTES);
  const stopped = bodies.flatMap((body) => decodeCommands(body).commands.map(({ task }) => task));
  assert.deepEqual(stopped, names);
});
