/**
 * Simulates model engines on virtual time: groups of ranks in lock-step with
 * continuous batching, chunked prefill and a limited prefix cache. Uses no
 * network and no processes. All times are milliseconds.
 */
import * as random from '../src/random';

export interface FakeRequest {
  readonly account: string;
  readonly prefix: string;
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly outputTokens: number;
  readonly arrivedAt: number;
  /** Virtual time after which the caller no longer waits. */
  readonly deadlineAt: number;
  prefillTokensLeft: number;
  outputTokensLeft: number;
  cachedTokens: number;
  firstTokenAt: number;
  endedAt: number;
}

/** Step times and limits of a rank. */
export const COSTS = {
  baseMs: 4.5,
  perDecodeMs: 0.05,
  perPrefillTokenMs: 0.01,
  chunkTokens: 512,
  maxRunning: 32,
  cachedPrefixes: 24,
} as const;

export class FakeRank {
  readonly running: FakeRequest[] = [];
  readonly waiting: FakeRequest[] = [];
  slowness = 1;
  stalledUntil = 0;
  rankMs: number = COSTS.baseMs;
  busyMs = 0;
  private readonly cache = new Map<string, number>();

  constructor(
    readonly id: string,
    readonly hall: string,
  ) {}

  submit(request: FakeRequest): void {
    this.waiting.push(request);
  }

  get outstanding(): number {
    return this.running.length + this.waiting.length;
  }

  get prefillTokens(): number {
    const all = [...this.running, ...this.waiting];
    return all.reduce((sum, request) => sum + request.prefillTokensLeft, 0);
  }

  /** Runs one step and returns its duration. */
  runStep(now: number, onEnd: (request: FakeRequest) => void): number {
    while (this.running.length < COSTS.maxRunning && this.waiting.length > 0) {
      this.startRequest(this.waiting.shift()!);
    }
    let prefillBudget: number = COSTS.chunkTokens;
    let decodes = 0;
    for (const request of [...this.running]) {
      if (request.prefillTokensLeft > 0) {
        const read = Math.min(prefillBudget, request.prefillTokensLeft);
        request.prefillTokensLeft -= read;
        prefillBudget -= read;
        continue;
      }
      decodes += 1;
      request.outputTokensLeft -= 1;
      request.firstTokenAt ||= now;
      if (request.outputTokensLeft <= 0) {
        request.endedAt = now;
        this.running.splice(this.running.indexOf(request), 1);
        onEnd(request);
      }
    }
    const prefilled = COSTS.chunkTokens - prefillBudget;
    const ownMs =
      COSTS.baseMs +
      decodes * COSTS.perDecodeMs +
      prefilled * COSTS.perPrefillTokenMs;
    this.rankMs = ownMs * this.slowness;
    this.busyMs +=
      decodes * COSTS.perDecodeMs + prefilled * COSTS.perPrefillTokenMs;
    return this.stalledUntil > now ? this.stalledUntil - now : this.rankMs;
  }

  private startRequest(request: FakeRequest): void {
    const cached = this.cache.get(request.prefix) ?? 0;
    request.cachedTokens = Math.min(cached, request.prefixTokens);
    request.prefillTokensLeft =
      request.prefixTokens + request.suffixTokens - request.cachedTokens;
    this.cache.delete(request.prefix);
    this.cache.set(request.prefix, request.prefixTokens);
    if (this.cache.size > COSTS.cachedPrefixes) {
      const [oldest] = this.cache.keys();
      this.cache.delete(oldest!);
    }
    this.running.push(request);
  }
}

export class FakeGroup {
  stepMs: number = COSTS.baseMs;
  readonly skewsMs: number[] = [];
  readonly stepTimesMs: number[] = [];
  nextAt = 0;

  constructor(
    readonly id: string,
    readonly ranks: readonly FakeRank[],
  ) {}

  /** Runs a step and sets the time of the next one. */
  runStep(now: number, onEnd: (request: FakeRequest) => void): void {
    const times = this.ranks.map(rank => rank.runStep(now, onEnd));
    this.stepMs = Math.max(...times);
    this.skewsMs.push(this.stepMs - Math.min(...times));
    this.stepTimesMs.push(this.stepMs);
    this.nextAt = now + this.stepMs;
  }
}

/** Makes three groups of four ranks, one group per hall. */
export function makeGroups(): FakeGroup[] {
  const HALLS = ['hall-a', 'hall-b', 'hall-c'];
  const RANKS = 4;
  return HALLS.map(
    (hall, index) =>
      new FakeGroup(
        `group-${index}`,
        Array.from(
          {length: RANKS},
          (_, rank) => new FakeRank(`target-${index * RANKS + rank}`, hall),
        ),
      ),
  );
}

/** Client accounts with their share of the requests. */
export const ACCOUNTS = [
  0.3, 0.2, 0.14, 0.1, 0.07, 0.06, 0.05, 0.04, 0.02, 0.02,
].map((share, index) => ({id: `account-${index}`, share}));

const PREFIXES_PER_ACCOUNT = 30;

/** Draws a request; the account is chosen by its share. */
export function drawRequest(now: number, timeoutMs: number): FakeRequest {
  let remaining = random.uniform();
  const account =
    ACCOUNTS.find(candidate => {
      remaining -= candidate.share;
      return remaining < 0;
    }) ?? ACCOUNTS[0]!;
  return drawAccountRequest(account.id, now, timeoutMs);
}

export function drawAccountRequest(
  account: string,
  now: number,
  timeoutMs: number,
): FakeRequest {
  const prefix = Math.floor(random.uniform() ** 2 * PREFIXES_PER_ACCOUNT);
  return {
    account,
    prefix: `${account}/${prefix}`,
    prefixTokens: 1_500,
    suffixTokens: 100 + random.integerBelow(300),
    outputTokens: 20 + random.integerBelow(80),
    arrivedAt: now,
    deadlineAt: now + timeoutMs,
    prefillTokensLeft: 1_500,
    outputTokensLeft: 20 + random.integerBelow(80),
    cachedTokens: 0,
    firstTokenAt: 0,
    endedAt: 0,
  };
}
