// A loopback deployment that runs the members of replica groups as processes, with a client that queries the head
// repeatedly and checks every answer.
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { nodeHttp } from '@gingerlock/clients';
import { type GroupRecord, groupRecord, KEYS } from '@gingerlock/wire';
import { LoopbackDeployment, type LoopbackOptions } from './loopback';
import { ASK_PATH, type GroupAnswer, type MemberOptions } from './member-process';

/** Options of a loopback deployment with replica groups. */
export interface GroupDeploymentOptions extends LoopbackOptions {
  /** The script that runs a member; its arguments are `--member` and the member's options as JSON. */
  readonly script: string;
  /** The members' guards against answers from members of different generations; default: both. */
  readonly guards?: Partial<Pick<MemberOptions, 'keepsLease' | 'checksGeneration'>>;
}

/**
 * The port at which all members listen, each at its machine's address. It lies below the ephemeral ports of the
 * operating system, and depends on the process id, so that parallel test processes use different ports.
 */
const MEMBER_PORT = 12_000 + (process.pid % 16_000);
/** How long a member loads before it serves. */
const MEMBER_LOAD_MS = 150;

/** How often the client queries each machine. */
const QUERY_INTERVAL_MS = 60;
/** How long the client waits for an answer. */
const CLIENT_TIMEOUT_MS = 5000;

interface RunningMember {
  readonly task: string;
  readonly attempt: number;
  readonly machine: string;
  readonly process: ChildProcess;
}

/** A loopback deployment with member processes and a client. */
export class GroupDeployment extends LoopbackDeployment {
  /** The member processes, by task and machine. */
  readonly #members = new Map<string, RunningMember>();
  /** Correct answers, in the order in which they arrived. */
  readonly answers: GroupAnswer[] = [];
  /** Wrong answers, as JSON with the latest generation seen before. */
  readonly wrongAnswers: string[] = [];
  readonly #clientHttp = nodeHttp();
  #isClientRunning = false;

  constructor(readonly groupOptions: GroupDeploymentOptions) {
    super(groupOptions);
  }

  // --- members -----------------------------------------------------------------------------------------------------

  override onTask(taskName: string, machine: string, attempt: number): void {
    super.onTask(taskName, machine, attempt);
    const options: MemberOptions = {
      task: taskName,
      attempt,
      host: this.hostOf(machine),
      port: MEMBER_PORT,
      controllers: this.controllers.map((name) => this.network.addressOf(name)),
      loadMs: MEMBER_LOAD_MS,
      keepsLease: true,
      checksGeneration: true,
      ...this.groupOptions.guards,
    };
    const { script } = this.groupOptions;
    const child = spawn(globalThis.process.execPath, [script, '--member', JSON.stringify(options)], {
      stdio: ['pipe', 'ignore', 'inherit'],
    });
    const key = `${taskName} ${machine}`;
    this.#members.set(key, { task: taskName, attempt, machine, process: child });
    child.on('exit', () => {
      if (this.#members.get(key)?.process !== child) return;
      this.#members.delete(key);
      this.workers.get(machine)?.fail(taskName, attempt);
    });
  }

  override offTask(taskName: string, machine: string): void {
    super.offTask(taskName, machine);
    const key = `${taskName} ${machine}`;
    // A machine that hangs cannot stop processes.
    if (this.network.hangs(machine)) return;
    this.#members.get(key)?.process.kill('SIGKILL');
    this.#members.delete(key);
  }

  /** The running member processes. */
  get members(): readonly RunningMember[] {
    return [...this.#members.values()];
  }

  /** Returns the member process of the task, on any machine. */
  memberOf(taskName: string): RunningMember | undefined {
    return this.members.find((member) => member.task === taskName);
  }

  /** Kills the task's member process; the worker reports that the task ended with an error. */
  killMember(taskName: string): void {
    this.memberOf(taskName)?.process.kill('SIGKILL');
  }

  /** Makes a machine hang with all its member processes; returns a function that resumes it. */
  hang(machine: string): () => void {
    const processes = this.members.filter((member) => member.machine === machine).map((member) => member.process);
    this.network.hang(machine);
    for (const process of processes) process.kill('SIGSTOP');
    return () => {
      // The worker also resumes, and soon stops the tasks if its lease has expired.
      for (const process of processes) process.kill('SIGCONT');
      this.network.resume(machine);
    };
  }

  /** Ends a machine with all its tasks; the cloud lists it as failed. */
  killMachine(machine: string): void {
    this.workers.get(machine)?.die();
    this.workers.delete(machine);
    this.cloud.end(machine, 'failed');
  }

  /** Returns the group's stored record; null: no record is stored. */
  recordOf(job: string): GroupRecord | null {
    const stored = this.state.data.get(KEYS.group(job));
    return stored === undefined ? null : groupRecord.read(stored.value);
  }

  // --- the client --------------------------------------------------------------------------------------------------

  /** Starts a client that queries every machine periodically. */
  startClient(): void {
    this.#isClientRunning = true;
    const ask = (): void => {
      if (!this.#isClientRunning) return;
      for (const machine of this.workers.keys()) void this.askAt(this.hostOf(machine));
      this.sim.after(QUERY_INTERVAL_MS, ask);
    };
    ask();
  }

  /** Queries the member at the address and checks its answer; null: no head answered there. */
  async askAt(host: string): Promise<GroupAnswer | null> {
    try {
      const { status, body } = await this.#clientHttp(
        `${host}:${MEMBER_PORT}`,
        'GET',
        ASK_PATH,
        null,
        CLIENT_TIMEOUT_MS,
      );
      if (status !== 200) return null;
      const answer = JSON.parse(body.toString()) as GroupAnswer;
      this.#checkAnswer(answer);
      return answer;
    } catch {
      // No head answers at this address.
      return null;
    }
  }

  /** Checks that each member contributed once, all in one generation, and that no later generation answered before. */
  #checkAnswer(answer: GroupAnswer): void {
    const { generation, worldSize, partials } = answer;
    const ranks = new Set(partials.map(({ rank }) => rank));
    const isComplete = ranks.size === worldSize && partials.length === worldSize;
    const hasOneGeneration = partials.every((partial) => partial.generation === generation);
    const latest = this.answers.at(-1)?.generation ?? 0;
    if (!isComplete || !hasOneGeneration || generation < latest)
      this.wrongAnswers.push(JSON.stringify({ ...answer, latest }));
    else this.answers.push(answer);
  }

  /** The generation of the last correct answer; 0 before the first. */
  get answeredGeneration(): number {
    return this.answers.at(-1)?.generation ?? 0;
  }

  override async stop(): Promise<void> {
    this.#isClientRunning = false;
    const exits = this.members.map(({ process: child }) => {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      return exited;
    });
    await super.stop();
    await Promise.all(exits);
  }
}
