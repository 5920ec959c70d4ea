/**
 * A small fake of the engines' interface on virtual time: groups of ranks in
 * lock-step that batch continuously, read prompts in chunks and cache
 * prefixes in limited memory. No network, no processes.
 */
import * as random from '../src/random';

/** One request at a fake rank. */
export interface FakeRequest {
  readonly account: string;
  readonly prefix: string;
  readonly prefixTokens: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  readonly arrivedAt: number;
  /** Virtual time after which nobody wants the answer. */
  readonly deadlineAt: number;
  prefillLeft: number;
  outputLeft: number;
  hitTokens: number;
  firstTokenAt: number;
  endedAt: number;
}

/** Costs of a fake rank, in milliseconds. */
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

  /** Takes a request in. */
  submit(request: FakeRequest): void {
    this.waiting.push(request);
  }

  get outstanding(): number {
    return this.running.length + this.waiting.length;
  }

  get prefillTokens(): number {
    const all = [...this.running, ...this.waiting];
    return all.reduce((sum, request) => sum + request.prefillLeft, 0);
  }

  /** One step's work; answers its time. */
  runStep(now: number, onEnd: (request: FakeRequest) => void): number {
    while (this.running.length < COSTS.maxRunning && this.waiting.length > 0) {
      this.begin(this.waiting.shift()!);
    }
    let budget: number = COSTS.chunkTokens;
    let decodes = 0;
    for (const request of [...this.running]) {
      if (request.prefillLeft > 0) {
        const read = Math.min(budget, request.prefillLeft);
        request.prefillLeft -= read;
        budget -= read;
        continue;
      }
      decodes += 1;
      request.outputLeft -= 1;
      request.firstTokenAt ||= now;
      if (request.outputLeft <= 0) {
        request.endedAt = now;
        this.running.splice(this.running.indexOf(request), 1);
        onEnd(request);
      }
    }
    const read = COSTS.chunkTokens - budget;
    const ownMs =
      COSTS.baseMs +
      decodes * COSTS.perDecodeMs +
      read * COSTS.perPrefillTokenMs;
    this.rankMs = ownMs * this.slowness;
    this.busyMs += decodes * COSTS.perDecodeMs + read * COSTS.perPrefillTokenMs;
    return this.stalledUntil > now ? this.stalledUntil - now : this.rankMs;
  }

  private begin(request: FakeRequest): void {
    const held = this.cache.get(request.prefix) ?? 0;
    request.hitTokens = Math.min(held, request.prefixTokens);
    request.prefillLeft =
      request.prefixTokens + request.ownTokens - request.hitTokens;
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
  readonly skews: number[] = [];
  readonly steps: number[] = [];
  nextAt = 0;

  constructor(
    readonly id: string,
    readonly ranks: readonly FakeRank[],
  ) {}

  /** Runs the step that begins now and sets when the next one does. */
  runStep(now: number, onEnd: (request: FakeRequest) => void): void {
    const times = this.ranks.map(rank => rank.runStep(now, onEnd));
    this.stepMs = Math.max(...times);
    this.skews.push(this.stepMs - Math.min(...times));
    this.steps.push(this.stepMs);
    this.nextAt = now + this.stepMs;
  }
}

/** Three groups of four ranks, a group to a hall. */
export function makeFleet(): FakeGroup[] {
  const HALLS = ['hall-a', 'hall-b', 'hall-c'];
  const RANKS = 4;
  return HALLS.map(
    (hall, at) =>
      new FakeGroup(
        `group-${at}`,
        Array.from(
          {length: RANKS},
          (_, rank) => new FakeRank(`target-${at * RANKS + rank}`, hall),
        ),
      ),
  );
}

/** Ten client accounts, a few of them large, by share of the requests. */
export const ACCOUNTS = [
  0.3, 0.2, 0.14, 0.1, 0.07, 0.06, 0.05, 0.04, 0.02, 0.02,
].map((share, at) => ({id: `account-${at}`, share}));

const PREFIXES_PER_ACCOUNT = 30;

/** Draws a request of any account. */
export function drawRequest(now: number, timeoutMs: number): FakeRequest {
  let left = random.uniform();
  const account =
    ACCOUNTS.find(one => {
      left -= one.share;
      return left < 0;
    }) ?? ACCOUNTS[0]!;
  return requestOf(account.id, now, timeoutMs);
}

/** Draws a request of one account. */
export function requestOf(
  account: string,
  now: number,
  timeoutMs: number,
): FakeRequest {
  const popular = Math.floor(random.uniform() ** 2 * PREFIXES_PER_ACCOUNT);
  return {
    account,
    prefix: `${account}/${popular}`,
    prefixTokens: 1_500,
    ownTokens: 100 + random.integerBelow(300),
    outputTokens: 20 + random.integerBelow(80),
    arrivedAt: now,
    deadlineAt: now + timeoutMs,
    prefillLeft: 1_500,
    outputLeft: 20 + random.integerBelow(80),
    hitTokens: 0,
    firstTokenAt: 0,
    endedAt: 0,
  };
}
