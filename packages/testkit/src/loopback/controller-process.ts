// Runs one controller as a process of its own, with the command of the deploy file.
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** How much of a process's latest log output is kept, in characters. */
const KEPT_LOG = 64 * 1024;

/** Returns the command that starts a controller, as `deploy/service.toml` gives it, without the settings file. */
export function deployCommand(): string[] {
  const file = readFileSync('deploy/service.toml', 'utf8');
  const command = /^run = "(.*)"$/m.exec(file)?.[1];
  if (command === undefined) throw new Error('deploy/service.toml has no command');
  return command.split(' ');
}

/** A controller that runs as a process. */
export class ControllerProcess {
  readonly #process: ChildProcess;
  readonly #directory = mkdtempSync(join(tmpdir(), 'gingerlock-'));
  readonly #exited: Promise<unknown>;
  #isEnding = false;
  /** Whether the process has ended although nobody asked it to. */
  hasEndedByItself = false;
  /** The end of what the process has logged. */
  log = '';

  /** @param settings the content of the settings file */
  constructor(settings: unknown) {
    const settingsFile = join(this.#directory, 'settings.json');
    writeFileSync(settingsFile, JSON.stringify(settings));
    const [program, ...args] = deployCommand();
    this.#process = spawn(program === 'node' ? process.execPath : program!, [...args, settingsFile], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.#process.stderr!.on('data', (chunk: Buffer) => {
      this.log = (this.log + chunk.toString()).slice(-KEPT_LOG);
    });
    this.#exited = once(this.#process, 'exit').then(() => {
      if (!this.#isEnding) this.hasEndedByItself = true;
    });
  }

  get pid(): number {
    return this.#process.pid!;
  }

  /** The most memory that the process has had resident, in bytes; 0 once it has ended. */
  peakResidentBytes(): number {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * 1024;
    } catch {
      return 0;
    }
  }

  /** Kills the process and waits for its end. */
  async end(): Promise<void> {
    this.#isEnding = true;
    this.#process.kill('SIGKILL');
    await this.#exited;
    rmSync(this.#directory, { recursive: true, force: true });
  }
}
