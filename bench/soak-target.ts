/**
 * Stand-in for a plain target with limited slots, for the soak test of a site. It
 * reports what it receives and executes.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as faults from '../features/support/faults';
import {pause} from '../features/support/fleet';
import {HEADERS} from '../platform/names';
import type {ObjectStoreStandin} from '../platform/store-standin';
import type {SoakEvent} from './soak-checks';

export const TARGET_SLOTS = 4;
export const WORK_MS = 100;
/** Requests that it queues before it refuses. */
const MAX_QUEUED = 8;
/** More than the buffers of the two connections on the way to a caller hold. */
const LARGE_ANSWER_BYTES = 10 * 1024 * 1024;
const EVENT_BYTES = 1_024;
/** A stream, of which all events are there at once. */
const LARGE_ANSWER = Buffer.from(
  Array.from({length: LARGE_ANSWER_BYTES / EVENT_BYTES}, (_, at) =>
    `id: ${at + 1}\ndata: `.padEnd(EVENT_BYTES - 2, '.').concat('\n\n'),
  ).join(''),
);
const SMALL_ANSWER = Buffer.from('whole');
/** Answers of requests below this path are large. */
export const LARGE_PATH = '/large/';

/** A cold period lasts longer than the injection, so that faults occur in it. */
const COLD_FACTOR = 6;
const COLD_REFRESH_MS = 1_000;

let answers = 0;

export class SoakTarget {
  private readonly server = http.createServer((req, res) =>
    this.receive(req, res),
  );
  private readonly queue: Array<() => void> = [];
  private running = 0;

  constructor(
    readonly id: string,
    private readonly emit: (event: SoakEvent) => void,
  ) {}

  /** Resolves with its address. */
  async open(host: string): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, host, () => resolve()),
    );
    return `${host}:${(this.server.address() as net.AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(req: http.IncomingMessage, res: http.ServerResponse): void {
    res.setHeader(HEADERS.requestId, attemptOf(req));
    if (req.headers[HEADERS.expectedTarget.toLowerCase()] !== this.id) {
      res.writeHead(421).end();
      return;
    }
    this.emit({kind: 'arrival', target: this.id, at: performance.now()});
    res.setHeader(HEADERS.signature, `by ${this.id}`);
    if (this.running < TARGET_SLOTS) {
      this.run(req, res);
    } else if (this.queue.length < MAX_QUEUED) {
      this.queue.push(() => this.run(req, res));
    } else {
      res.writeHead(503, {[HEADERS.notRun]: '1'}).end();
    }
  }

  private run(req: http.IncomingMessage, res: http.ServerResponse): void {
    // Of a request that was queued, whose entry has left in the meantime.
    if (res.destroyed) {
      this.queue.shift()?.();
      return;
    }
    this.running += 1;
    this.emit({
      kind: 'run',
      attempt: attemptOf(req),
      operation: String(req.url),
      at: performance.now(),
    });
    setTimeout(() => {
      this.running -= 1;
      this.answer(req, res);
      this.queue.shift()?.();
    }, WORK_MS);
  }

  private answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (res.destroyed) {
      return;
    }
    answers += 1;
    const answer = answers;
    this.emit({kind: 'answered', answer, at: performance.now()});
    res.once('close', () =>
      this.emit({kind: 'answer-over', answer, at: performance.now()}),
    );
    const isLarge = req.url?.startsWith(LARGE_PATH) === true;
    res.writeHead(200).end(isLarge ? LARGE_ANSWER : SMALL_ANSWER);
  }
}

/** Turns a target cold for some seconds, unless another one is cold. */
export class ColdTarget extends faults.Fault {
  private until = -Infinity;

  constructor(
    private readonly store: ObjectStoreStandin,
    private readonly targets: readonly SoakTarget[],
    private readonly emit: (event: SoakEvent) => void,
  ) {
    super('cold');
  }

  override describe(id: string, durationMs: number): string {
    const target = this.targetOf(durationMs).id;
    return performance.now() < this.until
      ? `${this.kind} ${target} skipped`
      : `${this.kind} ${target} ${COLD_FACTOR * durationMs}`;
  }

  async inject(id: string, durationMs: number): Promise<void> {
    const from = performance.now();
    if (from < this.until) {
      return;
    }
    const target = this.targetOf(durationMs).id;
    this.until = from + COLD_FACTOR * durationMs;
    this.emit({kind: 'cold', target, from, until: this.until});
    this.refresh(target, this.until);
    await pause(durationMs);
  }

  private targetOf(durationMs: number): SoakTarget {
    return this.targets[durationMs % this.targets.length]!;
  }

  /** Writes the remaining time, as a target does while the store is available. */
  private refresh(id: string, until: number): void {
    const remainingMs = Math.max(until - performance.now(), 0);
    const last = this.store.peek('servers', id)!.specification as {
      sequence: number;
    };
    if (!this.store.isUnavailable) {
      this.store.write('servers', id, {
        ...last,
        'cold-remaining-ms': Math.ceil(remainingMs),
        sequence: last.sequence + 1,
      });
    }
    if (remainingMs > 0) {
      setTimeout(
        () => this.refresh(id, until),
        Math.min(COLD_REFRESH_MS, remainingMs),
      );
    }
  }
}

function attemptOf(req: http.IncomingMessage): string {
  return String(req.headers[HEADERS.requestId.toLowerCase()]);
}
