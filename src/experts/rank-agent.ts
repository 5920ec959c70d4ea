/**
 * The sidecar's side of a map change: it gives its own rank orders on behalf
 * of the planner with the highest term that it has heard of.
 */
import * as rxjs from 'rxjs';
import {Log} from '../observability/log';
import {
  Engine,
  ExpertCounts,
  GivenArm,
  GroupView,
  Growth,
  Order,
  OrderResult,
  RankReading,
  RankState,
  ReadAnswer,
  ReadWish,
} from './types';

/** Tries of an order whose answer does not come. */
const ORDER_TRIES = 12;
/** Pause between looks at a copy under way, in milliseconds. */
const COPY_POLL_MS = 8;
/** Time for tries of an order to another's rank: the planner waits for it. */
const OTHER_PATIENCE_MS = 180;
/**
 * Time between looks whether the group is open, while no planner reads the rank
 * and somebody asks, in milliseconds. They cost nothing on the own instance.
 */
const OPENING_LOOK_MS = 40;
/** Periods of a planner's readings that it may miss and still be heard. */
const MISSED_PERIODS = 4.5;
/** Longest time between readings that a planner may name, in milliseconds. */
const LONGEST_PERIOD_MS = 2_000;
const FIRST_PERIOD_MS = 100;
/**
 * Engines of other ranks that a connection is kept to: those of one branch.
 * A new connection costs a round trip while the group may be held.
 */
const MOST_OTHERS = 24;

/** One reading of a rank for a planner. */
export interface AgentReading {
  readonly answer: ReadAnswer;
  /** Growth of the counters since the reading before. */
  readonly growth: Growth | undefined;
}

export class RankAgent {
  /** Highest term of a planner that was heard. */
  term = 0;
  private heardAt = -Infinity;
  private periodMs = FIRST_PERIOD_MS;
  private counters: ExpertCounts | undefined;
  /** Undefined until a planner has learnt what there was before. */
  private gave: GivenArm | null | undefined;
  /** Whether the own rank saw its group open, and when. */
  private lastSeen: {readonly isOpen: boolean; readonly at: number} | undefined;
  private readonly news = new rxjs.Subject<void>();
  private heard: {readonly view: GroupView; readonly at: number} | undefined;
  /** Engines of other ranks that were ordered lately, oldest first. */
  private readonly others = new Map<string, Engine>();

  constructor(
    private readonly engine: Engine,
    private readonly makeEngine: (target: string) => Engine,
    private readonly log: Log,
  ) {}

  /** True once a planner was heard. */
  get hasHeard(): boolean {
    return this.term > 0;
  }

  /** Takes the counters as they stand, so that the first reading has growth. */
  async primeCounters(): Promise<void> {
    const counters = await this.engine.counts();
    if (counters.ok) {
      this.takeGrowth(counters.value);
    }
  }

  /** True while a planner has been heard lately. */
  get isPlannerHeard(): boolean {
    const silentMs = performance.now() - this.heardAt;
    return silentMs < this.periodMs * MISSED_PERIODS;
  }

  /** Reads the rank for the planner of a term, which comes again in a while. */
  async read(
    term: number,
    periodMs: number,
    wish: ReadWish,
    view?: GroupView,
  ): Promise<AgentReading> {
    if (!this.obeys(term)) {
      return {answer: {kind: 'deposed'}, growth: undefined};
    }
    this.heard = view && {view, at: performance.now()};
    this.news.next();
    this.periodMs = Math.min(periodMs, LONGEST_PERIOD_MS);
    const [reading, counters] = await Promise.all([
      readRank(this.engine, wish.held),
      wish.growth ? this.engine.counts() : undefined,
    ]);
    if (reading === undefined) {
      return {answer: {kind: 'no-rank'}, growth: undefined};
    }
    this.see(reading.state);
    const growth = counters?.ok ? this.takeGrowth(counters.value) : undefined;
    const {gave} = this;
    if (wish.planning && gave === undefined) {
      this.gave = null;
    }
    return {answer: {kind: 'read', reading: {...reading, gave}}, growth};
  }

  /** What the planner told last of the group, and how long ago. */
  get known(): {view: GroupView; ageMs: number} | undefined {
    const {heard} = this;
    return heard && {view: heard.view, ageMs: performance.now() - heard.at};
  }

  /** What the own rank told last of its group, and how long ago. */
  get seen(): {isOpen: boolean; ageMs: number} | undefined {
    const {lastSeen} = this;
    return (
      lastSeen && {
        isOpen: lastSeen.isOpen,
        ageMs: performance.now() - lastSeen.at,
      }
    );
  }

  /**
   * Resolves when a planner has told something, the group has opened or closed,
   * or after the wait.
   */
  async waitForNews(waitMs: number): Promise<void> {
    const {lastSeen} = this;
    const endsAt = performance.now() + Math.min(waitMs, LONGEST_PERIOD_MS);
    for (;;) {
      if (!this.isPlannerHeard) {
        await this.look();
      }
      const leftMs = endsAt - performance.now();
      if (leftMs <= 0 || this.lastSeen?.isOpen !== lastSeen?.isOpen) {
        return;
      }
      const mayWaitMs = this.isPlannerHeard
        ? leftMs
        : Math.min(leftMs, OPENING_LOOK_MS);
      const isTold = await rxjs.firstValueFrom(
        rxjs.race(
          this.news.pipe(rxjs.map(() => true)),
          rxjs.timer(mayWaitMs).pipe(rxjs.map(() => false)),
        ),
        {defaultValue: true},
      );
      if (isTold) {
        return;
      }
    }
  }

  /** Carries an order out for the planner of a term. */
  async order(term: number, order: Order): Promise<OrderResult> {
    if (!this.obeys(term)) {
      this.log.event('staleOrderRefused', {
        order: order.kind,
        term,
        obeyed: this.term,
      });
      return 'deposed';
    }
    const result = await carryOut(this.engine, order, () => this.term === term);
    this.noteResult(order, result);
    return result;
  }

  /** Gives another rank an order for the planner of a term. */
  async orderOther(
    term: number,
    to: {readonly target: string; readonly rank: number},
    order: Order,
  ): Promise<OrderResult> {
    if (!this.obeys(term)) {
      return 'deposed';
    }
    const given: GivenArm | undefined =
      order.kind === 'arm'
        ? {
            epoch: order.epoch,
            rank: to.rank,
            version: order.version,
            step: order.step,
            isConfirmed: false,
          }
        : undefined;
    // Noted before anything is sent: whoever asks later must know of it.
    this.gave = given ?? this.gave;
    const engine = this.engineOf(to.target);
    const endsAt = performance.now() + OTHER_PATIENCE_MS;
    const mayGoOn = () => this.term === term && performance.now() < endsAt;
    const result = await carryOut(engine, order, mayGoOn);
    if (given !== undefined && this.gave === given) {
      this.gave = result === 'refused' ? null : given;
      given.isConfirmed = result === 'done';
    }
    this.noteResult(order, result);
    return result;
  }

  /**
   * Gives other ranks an order for the planner of a term. Unlike `orderOther`
   * it is not remembered: it says nothing of the planner's own rank.
   */
  async orderOthers(
    term: number,
    targets: readonly string[],
    order: Order,
  ): Promise<OrderResult[]> {
    if (!this.obeys(term)) {
      return targets.map(() => 'deposed');
    }
    const endsAt = performance.now() + OTHER_PATIENCE_MS;
    const mayGoOn = () => this.term === term && performance.now() < endsAt;
    return Promise.all(
      targets.map(target => carryOut(this.engineOf(target), order, mayGoOn)),
    );
  }

  close(): void {
    this.news.complete();
    this.others.forEach(engine => engine.close());
    this.others.clear();
  }

  /** Looks whether the group is open, where nobody has lately. */
  private async look(): Promise<void> {
    const ageMs = this.seen?.ageMs ?? Infinity;
    const state =
      ageMs < OPENING_LOOK_MS ? undefined : await this.engine.state();
    if (state?.ok && state.value !== undefined) {
      this.see(state.value);
    }
  }

  private see({isOpen}: RankState): void {
    const hasChanged = this.lastSeen?.isOpen !== isOpen;
    this.lastSeen = {isOpen, at: performance.now()};
    if (hasChanged) {
      this.news.next();
    }
  }

  private engineOf(target: string): Engine {
    const engine = this.others.get(target) ?? this.makeEngine(target);
    this.others.delete(target);
    this.others.set(target, engine);
    const [oldest] = this.others.keys();
    if (this.others.size > MOST_OTHERS && oldest !== undefined) {
      this.others.get(oldest)!.close();
      this.others.delete(oldest);
    }
    return engine;
  }

  private noteResult(order: Order, result: OrderResult): void {
    if (result !== 'done') {
      this.log.event('orderFailed', {
        order: order.kind,
        version: 'version' in order ? order.version : undefined,
        step: 'step' in order ? order.step : undefined,
        result,
      });
    }
  }

  /** Undefined for a first reading, and after the engine started again. */
  private takeGrowth(counters: ExpertCounts): Growth | undefined {
    const before = this.counters;
    this.counters = counters;
    const {values} = counters;
    const isSameStart =
      before?.born === counters.born && before?.values.length === values.length;
    if (before === undefined || !isSameStart) {
      return undefined;
    }
    const growth = new Float64Array(values.length);
    for (let at = 0; at < values.length; at += 1) {
      growth[at] = values[at]! - before.values[at]!;
      if (growth[at]! < 0) {
        return undefined;
      }
    }
    return growth;
  }

  private obeys(term: number): boolean {
    if (term > this.term) {
      this.log.event('plannerObeyed', {term, before: this.term});
      this.term = term;
    }
    const isNewest = term === this.term;
    if (isNewest) {
      this.heardAt = performance.now();
    }
    return isNewest;
  }
}

/** Reads a rank's engine; undefined where it is silent or in no group. */
export async function readRank(
  engine: Engine,
  wantsHeld: boolean,
): Promise<RankReading | undefined> {
  const [state, held] = await Promise.all([
    engine.state(),
    wantsHeld ? engine.held() : undefined,
  ]);
  if (!state.ok || state.value === undefined) {
    return undefined;
  }
  return {state: state.value, held: held?.ok ? held.value : undefined};
}

/**
 * Gives an order until it is answered, and waits for a copy to be whole.
 * Orders say the same each time, so a late one changes nothing.
 */
export async function carryOut(
  engine: Engine,
  order: Order,
  mayGoOn: () => boolean = () => true,
): Promise<OrderResult> {
  let result: OrderResult = 'no-answer';
  for (let tries = 0; tries < ORDER_TRIES; tries += 1) {
    if (!mayGoOn()) {
      return 'deposed';
    }
    result = await engine.order(order);
    if (result !== 'no-answer') {
      break;
    }
  }
  return result === 'done' && order.kind === 'prepare'
    ? waitForCopy(engine, order, mayGoOn)
    : result;
}

async function waitForCopy(
  engine: Engine,
  order: Extract<Order, {kind: 'prepare'}>,
  mayGoOn: () => boolean,
): Promise<OrderResult> {
  const endsAt = performance.now() + order.patienceMs;
  await pause(order.expectedMs);
  while (performance.now() < endsAt && mayGoOn()) {
    const state = await engine.state();
    if (state.ok && state.value?.prepared === order.version) {
      return 'done';
    }
    if (state.ok && state.value?.epoch !== order.epoch) {
      return 'refused';
    }
    await pause(COPY_POLL_MS);
  }
  return 'no-answer';
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
