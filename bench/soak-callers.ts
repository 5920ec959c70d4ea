/** Callers for the soak test of a site: their load, retries and slow readers. */
import * as http from 'node:http';
import * as testHttp from '../features/support/http';
import {HEADERS} from '../platform/names';
import * as random from '../src/random';
import type {SoakEvent} from './soak-checks';
import {LARGE_PATH} from './soak-target';

const SECOND_MS = 1_000;
/** Statuses by which an entry says that the request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
/** Share of the remaining time for which a caller waits as it is told. */
const MAX_WAIT_SHARE = 1 / 3;

export interface CallerKind {
  /** Name and path of the route. */
  readonly name: string;
  /** 0 is the highest. */
  readonly rank: number;
  readonly perSecond: number;
}

export interface CallerOptions {
  /** Addresses of the entries; the requests are spread evenly at random. */
  readonly entries: readonly string[];
  readonly host: string;
  /** Keys of the client accounts; the first one sends half of the requests. */
  readonly keys: readonly string[];
  readonly timeLimitMs: number;
  readonly emit: (event: SoakEvent) => void;
}

export class Callers {
  readonly counts = {requests: 0, refused: 0, retries: 0};
  /** By rank: how many requests have ended and how many of them were served. */
  readonly byRank = new Map<number, {ended: number; served: number}>();
  private readonly running = new Set<Promise<void>>();
  private attempts = 0;
  private isOpen = true;

  constructor(private readonly options: CallerOptions) {}

  /** Sends requests of a kind, with exponential intervals, until `stop`. */
  async send(kind: CallerKind): Promise<void> {
    let dueAt = performance.now();
    while (this.isOpen) {
      dueAt += random.exponential(SECOND_MS / kind.perSecond);
      await sleep(dueAt - performance.now());
      const call = this.call(kind);
      this.running.add(call);
      void call.then(() => this.running.delete(call));
    }
  }

  /** Resolves when all requests have ended. */
  async stop(): Promise<void> {
    this.isOpen = false;
    await Promise.all(this.running);
  }

  private async call(kind: CallerKind): Promise<void> {
    const {timeLimitMs, emit} = this.options;
    const arrivedAt = performance.now();
    this.counts.requests += 1;
    const path = `/${kind.name}/${this.counts.requests}`;
    const key = random.pick(this.accountKeys());
    const first = await this.attempt(path, key, timeLimitMs);
    const leftMs = arrivedAt + timeLimitMs - performance.now();
    const waitMs = retryAfterMs(first);
    let isServed = isWhole(first);
    if (waitMs !== undefined && waitMs <= leftMs * MAX_WAIT_SHARE) {
      await sleep(waitMs);
      this.counts.retries += 1;
      isServed = isWhole(await this.attempt(path, key, leftMs - waitMs));
    }
    this.countOutcome(kind.rank, isServed);
    emit({kind: 'ended', rank: kind.rank, arrivedAt, isServed});
  }

  private countOutcome(rank: number, isServed: boolean): void {
    const {ended, served} = this.byRank.get(rank) ?? {ended: 0, served: 0};
    this.byRank.set(rank, {
      ended: ended + 1,
      served: served + (isServed ? 1 : 0),
    });
  }

  private accountKeys(): readonly string[] {
    const {keys} = this.options;
    return random.uniform() < 0.5 ? keys.slice(0, 1) : keys.slice(1);
  }

  private async attempt(
    path: string,
    key: string,
    leftMs: number,
  ): Promise<testHttp.HttpResponse> {
    const {entries, emit} = this.options;
    this.attempts += 1;
    const attempt = `a-${this.attempts}`;
    const headers = this.headersOf(attempt, key, leftMs);
    const address = random.pick(entries);
    const response = await testHttp.call(
      address,
      'GET',
      path,
      headers,
      undefined,
      leftMs,
    );
    const {status} = response;
    if (NOT_RUN_STATUSES.includes(status)) {
      this.counts.refused += 1;
      emit({kind: 'refused', attempt, status, at: performance.now()});
    }
    return response;
  }

  private headersOf(
    attempt: string,
    key: string,
    leftMs: number,
  ): Record<string, string> {
    return {
      Host: this.options.host,
      [HEADERS.requestId]: attempt,
      [HEADERS.timeLeft]: String(Math.floor(leftMs)),
      [HEADERS.authorization]: `Bearer ${key}`,
    };
  }
}

function isWhole({status, isTruncated}: testHttp.HttpResponse): boolean {
  return status === 200 && !isTruncated;
}

/** Time after which the caller is told to retry a request that has not run. */
function retryAfterMs(response: testHttp.HttpResponse): number | undefined {
  const seconds = response.headers[HEADERS.retryAfter.toLowerCase()];
  return seconds !== undefined && NOT_RUN_STATUSES.includes(response.status)
    ? Number(seconds) * SECOND_MS
    : undefined;
}

/** Callers that request an answer and never read it. */
export class SlowReaders {
  /** Answers that began. */
  count = 0;
  private attempts = 0;
  private readonly requests = new Set<http.ClientRequest>();

  constructor(
    private readonly options: CallerOptions,
    /** After this time the caller disconnects. */
    private readonly holdMs: number,
  ) {}

  /** Begins so many requests at once. */
  open(count: number): void {
    for (let at = 0; at < count; at += 1) {
      this.openOne();
    }
  }

  close(): void {
    this.requests.forEach(req => req.destroy());
  }

  private openOne(): void {
    const {entries, host, keys} = this.options;
    this.attempts += 1;
    const attempt = `slow-${this.attempts}`;
    const req = http.get(`http://${random.pick(entries)}${LARGE_PATH}x`, {
      agent: false,
      headers: {
        Host: host,
        [HEADERS.requestId]: attempt,
        [HEADERS.timeLeft]: String(this.holdMs),
        [HEADERS.authorization]: `Bearer ${keys[0]}`,
      },
    });
    this.requests.add(req);
    const timer = setTimeout(() => req.destroy(), this.holdMs);
    req.on('error', () => undefined);
    req.on('close', () => {
      clearTimeout(timer);
      this.requests.delete(req);
    });
    req.on('response', res => this.hold(attempt, res));
  }

  private hold(attempt: string, res: http.IncomingMessage): void {
    const status = res.statusCode ?? 0;
    res.on('error', () => undefined);
    if (status === 200) {
      this.count += 1;
      res.pause();
      return;
    }
    res.resume();
    if (NOT_RUN_STATUSES.includes(status)) {
      const at = performance.now();
      this.options.emit({kind: 'refused', attempt, status, at});
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(ms, 0)));
}
