/**
 * The sidecar's side of a map change: it gives its own rank orders on behalf
 * of the planner with the highest term that it has heard of.
 */
import * as rxjs from 'rxjs';
import {Log} from '../observability/log';
import {
  Engine,
  ExpertCounts,
  SentArm,
  GroupView,
  Growth,
  Order,
  OrderResult,
  RankReading,
  RankState,
  ReadAnswer,
  ReadOptions,
} from './types';

/** Tries of an order whose answer does not come. */
const MAX_ORDER_TRIES = 12;
/** Pause between looks at a copy under way, in milliseconds. */
const COPY_POLL_INTERVAL_MS = 8;
/** Time for tries of an order to another's rank: the planner waits for it. */
const OTHER_ORDER_TIMEOUT_MS = 180;
/**
 * Time between looks whether the group is open, while no planner reads the rank
 * and somebody asks, in milliseconds. They cost nothing on the own instance.
 */
const STATUS_POLL_INTERVAL_MS = 40;
/** Periods of a planner's readings that it may miss and still be heard. */
const MAX_MISSED_PERIODS = 4.5;
/** Longest time between readings that a planner may name, in milliseconds. */
const MAX_PERIOD_MS = 2_000;
const INITIAL_PERIOD_MS = 100;
/**
 * Engines of other ranks that a connection is kept to: those of one branch.
 * A new connection costs a round trip while the group may be held.
 */
const MAX_OTHER_ENGINES = 24;

/** One reading of a rank for a planner. */
export interface AgentReading {
  readonly answer: ReadAnswer;
  /** Growth of the counters since the reading before. */
  readonly growth: Growth | undefined;
}

export class RankAgent {
  /** Highest term of a planner that was heard. */
  term = 0;
  private plannerHeardAt = -Infinity;
  private periodMs = INITIAL_PERIOD_MS;
  private counters: ExpertCounts | undefined;
  /** Undefined until a planner has learnt what there was before. */
  private lastSentArm: SentArm | null | undefined;
  /** Whether the own rank saw its group open, and when. */
  private lastStatus:
    {readonly isOpen: boolean; readonly at: number} | undefined;
  private readonly changes = new rxjs.Subject<void>();
  private report: {readonly view: GroupView; readonly at: number} | undefined;
  /** Engines of other ranks that were ordered lately, oldest first. */
  private readonly otherEngines = new Map<string, Engine>();

  constructor(
    private readonly engine: Engine,
    private readonly makeEngine: (target: string) => Engine,
    private readonly log: Log,
  ) {}

  /** True once a planner was heard. */
  get hasHeardPlanner(): boolean {
    return this.term > 0;
  }

  /** Takes the counters as they stand, so that the first reading has growth. */
  async primeCounters(): Promise<void> {
    const counters = await this.engine.counts();
    if (counters.ok) {
      this.updateCounters(counters.value);
    }
  }

  /** True while a planner has been heard lately. */
  get isPlannerHeard(): boolean {
    const silentMs = performance.now() - this.plannerHeardAt;
    return silentMs < this.periodMs * MAX_MISSED_PERIODS;
  }

  /** Reads the rank for the planner of a term, which comes again in a while. */
  async read(
    term: number,
    periodMs: number,
    wish: ReadOptions,
    view?: GroupView,
  ): Promise<AgentReading> {
    if (!this.acceptTerm(term)) {
      return {answer: {kind: 'deposed'}, growth: undefined};
    }
    this.report = view && {view, at: performance.now()};
    this.changes.next();
    this.periodMs = Math.min(periodMs, MAX_PERIOD_MS);
    const [reading, counters] = await Promise.all([
      readRank(this.engine, wish.held),
      wish.growth ? this.engine.counts() : undefined,
    ]);
    if (reading === undefined) {
      return {answer: {kind: 'no-rank'}, growth: undefined};
    }
    this.recordStatus(reading.state);
    const growth = counters?.ok
      ? this.updateCounters(counters.value)
      : undefined;
    const {lastSentArm: gave} = this;
    if (wish.planning && gave === undefined) {
      this.lastSentArm = null;
    }
    return {answer: {kind: 'read', reading: {...reading, gave}}, growth};
  }

  /** What the planner told last of the group, and how long ago. */
  get groupView(): {view: GroupView; ageMs: number} | undefined {
    const {report: heard} = this;
    return heard && {view: heard.view, ageMs: performance.now() - heard.at};
  }

  /** What the own rank told last of its group, and how long ago. */
  get groupStatus(): {isOpen: boolean; ageMs: number} | undefined {
    const {lastStatus: lastSeen} = this;
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
  async waitForChange(waitMs: number): Promise<void> {
    const {lastStatus: lastSeen} = this;
    const endsAt = performance.now() + Math.min(waitMs, MAX_PERIOD_MS);
    for (;;) {
      if (!this.isPlannerHeard) {
        await this.refreshStatus();
      }
      const leftMs = endsAt - performance.now();
      if (leftMs <= 0 || this.lastStatus?.isOpen !== lastSeen?.isOpen) {
        return;
      }
      const mayWaitMs = this.isPlannerHeard
        ? leftMs
        : Math.min(leftMs, STATUS_POLL_INTERVAL_MS);
      const isTold = await rxjs.firstValueFrom(
        rxjs.race(
          this.changes.pipe(rxjs.map(() => true)),
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
    if (!this.acceptTerm(term)) {
      this.log.event('staleOrderRefused', {
        order: order.kind,
        term,
        obeyed: this.term,
      });
      return 'deposed';
    }
    const result = await executeOrder(
      this.engine,
      order,
      () => this.term === term,
    );
    this.logFailure(order, result);
    return result;
  }

  /** Gives another rank an order for the planner of a term. */
  async orderOther(
    term: number,
    to: {readonly target: string; readonly rank: number},
    order: Order,
  ): Promise<OrderResult> {
    if (!this.acceptTerm(term)) {
      return 'deposed';
    }
    const given: SentArm | undefined =
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
    this.lastSentArm = given ?? this.lastSentArm;
    const engine = this.engineOf(to.target);
    const endsAt = performance.now() + OTHER_ORDER_TIMEOUT_MS;
    const mayGoOn = () => this.term === term && performance.now() < endsAt;
    const result = await executeOrder(engine, order, mayGoOn);
    if (given !== undefined && this.lastSentArm === given) {
      this.lastSentArm = result === 'refused' ? null : given;
      given.isConfirmed = result === 'done';
    }
    this.logFailure(order, result);
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
    if (!this.acceptTerm(term)) {
      return targets.map(() => 'deposed');
    }
    const endsAt = performance.now() + OTHER_ORDER_TIMEOUT_MS;
    const mayGoOn = () => this.term === term && performance.now() < endsAt;
    return Promise.all(
      targets.map(target =>
        executeOrder(this.engineOf(target), order, mayGoOn),
      ),
    );
  }

  close(): void {
    this.changes.complete();
    this.otherEngines.forEach(engine => engine.close());
    this.otherEngines.clear();
  }

  /** Looks whether the group is open, where nobody has lately. */
  private async refreshStatus(): Promise<void> {
    const ageMs = this.groupStatus?.ageMs ?? Infinity;
    const state =
      ageMs < STATUS_POLL_INTERVAL_MS ? undefined : await this.engine.state();
    if (state?.ok && state.value !== undefined) {
      this.recordStatus(state.value);
    }
  }

  private recordStatus({isOpen}: RankState): void {
    const hasChanged = this.lastStatus?.isOpen !== isOpen;
    this.lastStatus = {isOpen, at: performance.now()};
    if (hasChanged) {
      this.changes.next();
    }
  }

  private engineOf(target: string): Engine {
    const engine = this.otherEngines.get(target) ?? this.makeEngine(target);
    this.otherEngines.delete(target);
    this.otherEngines.set(target, engine);
    const [oldest] = this.otherEngines.keys();
    if (this.otherEngines.size > MAX_OTHER_ENGINES && oldest !== undefined) {
      this.otherEngines.get(oldest)!.close();
      this.otherEngines.delete(oldest);
    }
    return engine;
  }

  private logFailure(order: Order, result: OrderResult): void {
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
  private updateCounters(counters: ExpertCounts): Growth | undefined {
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

  private acceptTerm(term: number): boolean {
    if (term > this.term) {
      this.log.event('plannerObeyed', {term, before: this.term});
      this.term = term;
    }
    const isNewest = term === this.term;
    if (isNewest) {
      this.plannerHeardAt = performance.now();
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
    wantsHeld ? engine.heldExperts() : undefined,
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
export async function executeOrder(
  engine: Engine,
  order: Order,
  mayGoOn: () => boolean = () => true,
): Promise<OrderResult> {
  let result: OrderResult = 'no-answer';
  for (let tries = 0; tries < MAX_ORDER_TRIES; tries += 1) {
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
  await sleep(order.expectedMs);
  while (performance.now() < endsAt && mayGoOn()) {
    const state = await engine.state();
    if (state.ok && state.value?.prepared === order.version) {
      return 'done';
    }
    if (state.ok && state.value?.epoch !== order.epoch) {
      return 'refused';
    }
    await sleep(COPY_POLL_INTERVAL_MS);
  }
  return 'no-answer';
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
