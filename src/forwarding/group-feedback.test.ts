/**
 * Entries that admit requests to a group whose passes depend on what they
 * admit, and differ from what its views predict.
 */
import type {GroupView} from '../experts/types';
import {LastContact} from '../peers/last-contact';
import * as random from '../random';
import {ok} from '../result';
import type {RpcClient} from '../rpc/client';
import {ENGINE} from './group-kit';
import * as groupRequestLimit from './group-request-limit';
import {GroupViews} from './group-views';
import type {Target} from './types';

const RANKS = 72;
const ENTRIES = 6;
const ALLOWED = {pauseMs: 150, timeoutMs: 8_000};
const REQUESTS_PER_SECOND = 360;
const STEP_MS = 5;
const VIEW_INTERVAL_MS = 200;
const VIEW_AGE_MS = 100;

const MEAN_EVENTS = ENGINE.meanAnswerTokens / ENGINE.stride;
const EVENTS_SPREAD = 0.7;

const ranks: Target[] = Array.from({length: RANKS}, (_, rank) => ({
  id: `t${rank}`,
  lifetime: `t${rank}@1`,
  service: 's',
  address: `10.0.0.${rank}:1`,
  hall: 'h',
  slots: ENGINE.slots,
  coldRemainingMs: 0,
  isLeaving: false,
  sequence: 1,
  revision: 1,
  group: 'g',
  rank,
}));

interface Stream {
  readonly entry: number;
  readonly rank: number;
  eventsLeft: number;
  lastEventAt: number | undefined;
}

/** What a test observes each 100 ms. */
interface Sample {
  readonly ms: number;
  readonly inFlight: number;
  readonly passMs: number;
  readonly most: number;
}

class FakeGroup {
  imbalance = 1.3;
  slowness = 1;
  /** What the views say. */
  viewed = {imbalance: 1.3, slowness: 1};
  readonly samples: Sample[] = [];
  private streams: Stream[] = [];
  private passEnd = 0;
  private passMs = 0;
  private ms = 0;
  private readonly entries = Array.from({length: ENTRIES}, (_, entry) =>
    this.openEntry(entry),
  );

  async run(ms: number): Promise<void> {
    for (const end = this.ms + ms; this.ms < end; this.ms += STEP_MS) {
      await jest.advanceTimersByTimeAsync(STEP_MS);
      this.arrive();
      if (this.ms >= this.passEnd) {
        this.endPass();
      }
      if (this.ms % 100 === 0) {
        this.samples.push({
          ms: this.ms,
          inFlight: this.streams.length,
          passMs: this.passMs,
          most: this.capacityAt(0).most,
        });
      }
    }
  }

  /** Samples from `ms` on. */
  since(ms: number): readonly Sample[] {
    return this.samples.filter(one => one.ms >= ms);
  }

  capacityAt(entry: number) {
    return this.entries[entry]!.capacityOf(
      ranks[0]!,
      ENGINE,
      ALLOWED,
      performance.now(),
    );
  }

  close(): void {
    this.entries.forEach(one => one.close());
  }

  private openEntry(entry: number): GroupViews {
    const views = new GroupViews({
      rpc: {call: () => this.reportView()} as unknown as RpcClient,
      reach: new LastContact(),
      hall: 'h',
      rpcPort: 1,
      ranks: () => ranks,
      usableRanks: () => ranks,
      knownEntryCount: () => ENTRIES,
      onGroupState: () => undefined,
      onPasses: () => undefined,
      inFlight: lifetime =>
        this.streams.filter(
          one => one.entry === entry && ranks[one.rank]!.lifetime === lifetime,
        ).length,
    });
    views.pollNewGroups();
    return views;
  }

  private async reportView(): Promise<unknown> {
    await wait(VIEW_INTERVAL_MS - VIEW_AGE_MS);
    const view: GroupView = {
      requests: ranks.map(
        ({rank}) => this.streams.filter(one => one.rank === rank).length,
      ),
      imbalance: this.viewed.imbalance,
      slow:
        this.viewed.slowness > 1
          ? [{rank: 0, slowness: this.viewed.slowness}]
          : [],
    };
    await wait(VIEW_AGE_MS);
    const seen = {isOpen: true, ageMs: VIEW_AGE_MS};
    return ok({known: {view, ageMs: VIEW_AGE_MS}, seen});
  }

  private arrive(): void {
    const rate = (REQUESTS_PER_SECOND * STEP_MS) / 1_000;
    const count = Math.floor(rate + random.uniform());
    for (let at = 0; at < count; at += 1) {
      const entry = random.integerBelow(ENTRIES);
      const capacity = this.capacityAt(entry);
      if (capacity.requests < capacity.most) {
        const events = MEAN_EVENTS * lognormal(EVENTS_SPREAD);
        this.streams.push({
          entry,
          rank: random.integerBelow(RANKS),
          eventsLeft: Math.max(Math.round(events), 1),
          lastEventAt: undefined,
        });
      }
    }
  }

  /** Each stream in a slot gets an event. */
  private endPass(): void {
    const now = performance.now();
    const running = this.streams.slice(0, RANKS * ENGINE.slots);
    for (const stream of running) {
      if (stream.lastEventAt !== undefined) {
        this.entries[stream.entry]!.notePass(
          ranks[stream.rank]!,
          stream.lastEventAt,
          now,
        );
      }
      stream.lastEventAt = now;
      stream.eventsLeft -= 1;
    }
    this.streams = this.streams.filter(one => one.eventsLeft > 0);
    const {imbalance, slowness} = this;
    this.passMs = groupRequestLimit.passMs(
      ENGINE,
      {size: RANKS, imbalance, slowness, correction: 1},
      Math.min(this.streams.length / RANKS, ENGINE.slots),
    );
    this.passEnd = this.ms + this.passMs * (0.95 + 0.1 * random.uniform());
  }
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** A sample of the log-normal distribution with mean 1. */
function lognormal(spread: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.uniform()));
  const normal = radius * Math.cos(2 * Math.PI * random.uniform());
  return Math.exp(spread * normal - spread ** 2 / 2);
}

describe('requests admitted to a group', () => {
  beforeEach(() => {
    jest.useFakeTimers();
    random.seed(5);
  });
  afterEach(() => jest.useRealTimers());

  // Guards against a new planner's wrong view filling all slots.
  it('follow the passes if the imbalance is underestimated', async () => {
    const group = new FakeGroup();
    group.imbalance = 3.3;
    await group.run(8_000);
    const [early] = group.since(1_000);
    expect(early!.most).toBeLessThan(340);
    const settled = group.since(2_000);
    expect(Math.max(...settled.map(one => one.passMs))).toBeLessThan(150);
    const counts = settled.map(one => one.inFlight);
    const mean = counts.reduce((sum, one) => sum + one, 0) / counts.length;
    expect(mean).toBeGreaterThan(290);
    expect(Math.max(...counts) / mean).toBeLessThan(1.15);
    expect(Math.min(...counts) / mean).toBeGreaterThan(0.85);
    group.close();
  });

  it('fall within a second in a full group whose passes become longer', async () => {
    const group = new FakeGroup();
    await group.run(5_000);
    group.imbalance = 3.3;
    await group.run(5_000);
    expect(group.since(6_000)[0]!.most).toBeLessThan(400);
    const settled = group.since(7_000).map(one => one.passMs);
    expect(Math.max(...settled)).toBeLessThan(150);
    expect(Math.min(...settled)).toBeGreaterThan(110);
    group.close();
  });

  it('are as the model says where its prediction is right', async () => {
    const group = new FakeGroup();
    await group.run(6_000);
    expect(group.capacityAt(0).correction).toBe(1);
    expect(new Set(group.samples.map(one => one.most)).size).toBe(1);
    group.close();
  });

  // Guards against passes so long that no stream completes in its time limit.
  it('let streams complete while ranks are slow, and rise after it', async () => {
    const group = new FakeGroup();
    group.slowness = 12;
    group.imbalance = 3.3;
    group.viewed.slowness = 12;
    await group.run(8_000);
    expect(group.capacityAt(0).limitedBy).toBe('late');
    // Guards against refusing requests that would hardly lengthen the passes.
    expect(group.capacityAt(0).most).toBeGreaterThan(
      0.35 * RANKS * ENGINE.slots,
    );
    const passMs = Math.max(...group.since(1_000).map(one => one.passMs));
    expect(passMs * (MEAN_EVENTS + 1)).toBeLessThan(ALLOWED.timeoutMs);
    group.slowness = 1;
    group.imbalance = 1.3;
    await group.run(300);
    group.viewed.slowness = 1;
    await group.run(700);
    expect(group.capacityAt(0).most).toBeGreaterThan(500);
    group.close();
  });

  it('fit the time limit of streams where the pause cannot be kept', () => {
    const factors = {size: RANKS, imbalance: 1.3, slowness: 6, correction: 1};
    const limit = (correction: number, before?: 'late') =>
      groupRequestLimit.limitRequests(
        ENGINE,
        {...factors, correction},
        ALLOWED,
        before,
      );
    expect(limit(1)).toMatchObject({limitedBy: 'late', most: 529.2});
    expect(limit(3).most).toBeLessThan(400);
    const some = {...ALLOWED, pauseMs: 180};
    const near = {...factors, correction: 1.3};
    const reason = (before?: 'late') =>
      groupRequestLimit.limitRequests(ENGINE, near, some, before).limitedBy;
    // Near the change of limits, the one in force stays.
    expect([reason(), reason('late')]).toEqual(['in-time', 'late']);
  });
});
