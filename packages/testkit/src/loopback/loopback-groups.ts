// A deployment on loopback whose members of replica groups are real processes, with a client that keeps asking the
// head and checks every answer.
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { nodeHttp } from '@gingerlock/clients';
import { type GroupRecord, groupRecord, KEYS } from '@gingerlock/wire';
import { LoopbackDeployment, type LoopbackOptions } from './loopback';
import { ASK_PATH, type GroupAnswer, type MemberOptions } from './member-process';

/** What it is given beside the options of any deployment on loopback. */
export interface GroupDeploymentOptions extends LoopbackOptions {
  /** The script that runs a member if its first argument is `--member`, with the member's options as JSON behind it. */
  readonly script: string;
  /** Which of the two guards against answers of a mixed group members have; both if not given. */
  readonly guards?: Partial<Pick<MemberOptions, 'keepsLease' | 'checksGeneration'>>;
}

/**
 * At which all members listen, each on its machine's address: below the ports that systems give out, and different
 * for each process.
 */
const MEMBER_PORT = 12_000 + (process.pid % 16_000);
/** How long a member loads before it serves. */
const LOAD_MS = 150;

/** How often the client asks each machine for the head. */
const ASK_EVERY_MS = 60;
/** How long the client waits for an answer. */
const CLIENT_MS = 5000;

interface RunningMember {
  readonly task: string;
  readonly attempt: number;
  readonly machine: string;
  readonly process: ChildProcess;
}

/** A deployment on loopback with members and a client. */
export class GroupDeployment extends LoopbackDeployment {
  /** By task and machine. */
  readonly #members = new Map<string, RunningMember>();
  /** Whole answers, in the order in which they came. */
  readonly answers: GroupAnswer[] = [];
  /** What was wrong with answers. */
  readonly wrongAnswers: string[] = [];
  readonly #clientHttp = nodeHttp();
  #isAsking = false;

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
      loadMs: LOAD_MS,
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
    // A machine that hangs can't stop anything.
    if (this.network.hangs(machine)) return;
    this.#members.get(key)?.process.kill('SIGKILL');
    this.#members.delete(key);
  }

  /** The processes of members that are there now. */
  get members(): readonly RunningMember[] {
    return [...this.#members.values()];
  }

  /** The process of the member that is this task, wherever it runs. */
  memberOf(taskName: string): RunningMember | undefined {
    return this.members.find((member) => member.task === taskName);
  }

  /** The process of the member dies; its machine sees it end with an error. */
  killMember(taskName: string): void {
    this.memberOf(taskName)?.process.kill('SIGKILL');
  }

  /** The machine hangs with all that is on it. Returns a function that resumes it. */
  hang(machine: string): () => void {
    const processes = this.members.filter((member) => member.machine === machine).map((member) => member.process);
    this.network.hang(machine);
    for (const process of processes) process.kill('SIGSTOP');
    return () => {
      // The worker resumes with them, and soon stops what its lease no longer covers.
      for (const process of processes) process.kill('SIGCONT');
      this.network.resume(machine);
    };
  }

  /** The machine is gone with all that is on it, and the cloud says so. */
  killMachine(machine: string): void {
    this.workers.get(machine)?.die();
    this.workers.delete(machine);
    this.cloud.end(machine, 'failed');
  }

  /** The group's stored record; null: there is none. */
  recordOf(job: string): GroupRecord | null {
    const stored = this.state.data.get(KEYS.group(job));
    return stored === undefined ? null : groupRecord.read(stored.value);
  }

  // --- the client --------------------------------------------------------------------------------------------------

  /** Asks every machine for the head, again and again. */
  startClient(): void {
    this.#isAsking = true;
    const ask = (): void => {
      if (!this.#isAsking) return;
      for (const machine of this.workers.keys()) void this.askAt(this.hostOf(machine));
      this.sim.after(ASK_EVERY_MS, ask);
    };
    ask();
  }

  /** Asks the member at the address; whatever it answers is checked. */
  async askAt(host: string): Promise<GroupAnswer | null> {
    try {
      const { status, body } = await this.#clientHttp(`${host}:${MEMBER_PORT}`, 'GET', ASK_PATH, null, CLIENT_MS);
      if (status !== 200) return null;
      const answer = JSON.parse(body.toString()) as GroupAnswer;
      this.#check(answer);
      return answer;
    } catch {
      // No head there.
      return null;
    }
  }

  /** All members have contributed, each once and under one generation, and no later generation has answered before. */
  #check(answer: GroupAnswer): void {
    const { generation, worldSize, partials } = answer;
    const ranks = new Set(partials.map(({ rank }) => rank));
    const isWhole = ranks.size === worldSize && partials.length === worldSize;
    const isOfOne = partials.every((partial) => partial.generation === generation);
    const latest = this.answers.at(-1)?.generation ?? 0;
    if (!isWhole || !isOfOne || generation < latest) this.wrongAnswers.push(JSON.stringify({ ...answer, latest }));
    else this.answers.push(answer);
  }

  /** The generation of the last whole answer. */
  get answeredGeneration(): number {
    return this.answers.at(-1)?.generation ?? 0;
  }

  override async stop(): Promise<void> {
    this.#isAsking = false;
    const ends = this.members.map(({ process: child }) => {
      const hasEnded = once(child, 'exit');
      child.kill('SIGKILL');
      return hasEnded;
    });
    await super.stop();
    await Promise.all(ends);
  }
}
