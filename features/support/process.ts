/**
 * Starts, signals and ends one process of the system under test, and collects
 * the events that it logs. Needs a built bundle or binary in dist/.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import type {Readable} from 'node:stream';

const BUNDLE = path.join(process.cwd(), 'dist', 'ferrycleat.js');
const BINARY = path.join(process.cwd(), 'dist', 'ferrycleat');
const KILL_TIMEOUT_MS = 5_000;
/** Names a directory for the logs of test processes. */
const LOG_DIRECTORY_VARIABLE = 'FERRYCLEAT_TEST_LOGS';

export interface LoggedEvent {
  readonly event: string;
  readonly [field: string]: unknown;
}

export class TestProcess {
  readonly events: LoggedEvent[] = [];
  /** Arguments added to the constructor's from the next start on. */
  extraArgs: readonly string[] = [];
  private child: childProcess.ChildProcess | undefined;
  private ended: Promise<number | null> | undefined;

  constructor(
    readonly name: string,
    private readonly args: readonly string[],
    /** Added to the environment of this process. */
    private readonly env: Readonly<Record<string, string>> = {},
  ) {}

  start(): void {
    const useBinary = process.env['FERRYCLEAT_TEST_BINARY'] === '1';
    const command = useBinary ? BINARY : process.execPath;
    const processArgs = [...this.args, ...this.extraArgs];
    const args = useBinary ? processArgs : [BUNDLE, ...processArgs];
    const child = childProcess.spawn(command, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ...this.env},
    });
    this.child = child;
    this.ended = new Promise(resolve => child.once('close', resolve));
    // Processes of a site log to standard output, all others to standard error.
    this.recordLines(child.stdout);
    this.recordLines(child.stderr);
  }

  /** Id of the running process; 0: it was not started. */
  get pid(): number {
    return this.child?.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null;
  }

  /** False also if a signal ended the process. */
  get isAlive(): boolean {
    return this.isRunning && this.child?.signalCode === null;
  }

  /** Simulates a crash with SIGKILL. */
  async kill(): Promise<void> {
    this.child?.kill('SIGKILL');
    await this.ended;
  }

  /** Suspends the process with SIGSTOP. */
  freeze(): void {
    this.child?.kill('SIGSTOP');
  }

  thaw(): void {
    this.child?.kill('SIGCONT');
  }

  /** Sends SIGTERM; resolves with the exit code, null after a signal. */
  async stop(): Promise<number | null> {
    this.child?.kill('SIGTERM');
    return (await this.ended) ?? null;
  }

  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  whenEnded(): Promise<number | null> {
    return this.ended ?? Promise.resolve(null);
  }

  /** Ends the process in any state, also while it is suspended. */
  async destroy(): Promise<void> {
    if (!this.isRunning) {
      return;
    }
    this.thaw();
    const timer = setTimeout(
      () => this.child?.kill('SIGKILL'),
      KILL_TIMEOUT_MS,
    );
    this.child?.kill('SIGKILL');
    await this.ended;
    clearTimeout(timer);
  }

  count(event: string): number {
    return this.events.filter(entry => entry.event === event).length;
  }

  private recordLines(stream: Readable): void {
    let partialLine = '';
    stream.setEncoding('utf8');
    stream.on('data', (text: string) => {
      const lines = (partialLine + text).split('\n');
      partialLine = lines.pop() ?? '';
      lines.forEach(line => this.recordLine(line));
    });
  }

  private recordLine(line: string): void {
    try {
      this.events.push(JSON.parse(line) as LoggedEvent);
    } catch {
      this.events.push({event: 'unreadable', line});
    }
  }
}

export function savesLogs(): boolean {
  return process.env[LOG_DIRECTORY_VARIABLE] !== undefined;
}

/** Writes the logged events to the directory of `LOG_DIRECTORY_VARIABLE`, if set. */
export function saveLogs(processes: readonly TestProcess[]): void {
  const directory = process.env[LOG_DIRECTORY_VARIABLE];
  if (directory === undefined) {
    return;
  }
  const lines = processes.flatMap(({name, events}) =>
    events.map(event => JSON.stringify({process: name, ...event})),
  );
  const file = `${Date.now()}-${process.pid}.log`;
  fs.mkdirSync(directory, {recursive: true});
  fs.writeFileSync(path.join(directory, file), lines.join('\n'));
}
