/**
 * The sidecar's side of a map change: it gives its own rank orders on behalf
 * of the planner with the highest term that it has heard of.
 */
import {Log} from '../observability/log';
import {Engine, Order, OrderResult, RankReading, ReadWish} from './types';

/** Tries of an order whose answer does not come. */
const ORDER_TRIES = 6;
/** Pause between looks at a copy under way, in milliseconds. */
const COPY_POLL_MS = 8;

export class RankAgent {
  /** Highest term of a planner that was heard. */
  term = 0;
  private heardAt = performance.now();

  constructor(
    private readonly engine: Engine,
    private readonly log: Log,
  ) {}

  /** Milliseconds since a planner was last heard. */
  get silentMs(): number {
    return performance.now() - this.heardAt;
  }

  /** Reads the rank for the planner of a term. */
  async read(
    term: number,
    wish: ReadWish,
  ): Promise<RankReading | 'deposed' | undefined> {
    if (!this.obeys(term)) {
      return 'deposed';
    }
    return readRank(this.engine, wish);
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
    if (result !== 'done') {
      this.log.event('orderFailed', {
        order: order.kind,
        version: 'version' in order ? order.version : undefined,
        step: 'step' in order ? order.step : undefined,
        result,
      });
    }
    return result;
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

/** Reads a rank's engine. */
export async function readRank(
  engine: Engine,
  wish: ReadWish,
): Promise<RankReading | undefined> {
  const [state, counts, held] = await Promise.all([
    engine.state(),
    wish.counts ? engine.counts() : undefined,
    wish.held ? engine.held() : undefined,
  ]);
  if (!state.ok || state.value === undefined) {
    return undefined;
  }
  return {
    state: state.value,
    counts: counts?.ok ? counts.value : undefined,
    held: held?.ok ? held.value : undefined,
  };
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
  while (performance.now() < endsAt && mayGoOn()) {
    const state = await engine.state();
    if (state.ok && state.value?.prepared === order.version) {
      return 'done';
    }
    if (state.ok && state.value?.epoch !== order.epoch) {
      return 'refused';
    }
    await new Promise(resolve => setTimeout(resolve, COPY_POLL_MS));
  }
  return 'no-answer';
}
