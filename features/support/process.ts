/**
 * Starts, signals and ends one process of the system under test, and collects
 * the events that it logs. Needs a built bundle or binary in dist/.
 */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';

const BUNDLE = path.join(process.cwd(), 'dist', 'ferrycleat.js');
const BINARY = path.join(process.cwd(), 'dist', 'ferrycleat');
const KILL_TIMEOUT_MS = 5_000;

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
  ) {}

  start(): void {
    const useBinary = process.env['FERRYCLEAT_TEST_BINARY'] === '1';
    const command = useBinary ? BINARY : process.execPath;
    const processArgs = [...this.args, ...this.extraArgs];
    const args = useBinary ? processArgs : [BUNDLE, ...processArgs];
    const child = childProcess.spawn(command, args, {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.child = child;
    this.ended = new Promise(resolve => child.once('close', resolve));
    let partialLine = '';
    child.stderr?.setEncoding('utf8');
    child.stderr?.on('data', (text: string) => {
      const lines = (partialLine + text).split('\n');
      partialLine = lines.pop() ?? '';
      lines.forEach(line => this.recordLine(line));
    });
  }

  get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null;
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

  private recordLine(line: string): void {
    try {
      this.events.push(JSON.parse(line) as LoggedEvent);
    } catch {
      this.events.push({event: 'unreadable', line});
    }
  }
}
