import {SILENT_LOG} from '../observability/log';
import {Metrics} from '../observability/metrics';
import type * as mapChange from './change';
import type {GroupRanks} from './group-client';
import {MapChanger, PlannerContext} from './map-changer';
import * as types from './types';

const COPY_MS = 1;
/** Copying takes a millisecond here; the rest are orders. */
const MAX_CHANGE_MS = 6_000;
const MAP = [[[0], [1], [2], [3]]];
const STATE: types.RankState = {
  group: 'g',
  epoch: 1,
  rank: 0,
  size: 4,
  isOpen: true,
  step: 7,
  running: 1,
  waiting: 0,
  mapVersion: 0,
  prepared: null,
  armed: null,
  held: null,
  slowness: 1,
};

/** Carries out all orders but one kind, whose calls never end. */
class SilentRanks extends types.Ranks {
  readonly size = 4;
  readonly responsive = this.all;
  orderCount = 0;

  constructor(private readonly silentKind: types.OrderKind) {
    super();
  }

  async readStates(ranks: readonly number[]) {
    return ranks.map(rank => ({...STATE, rank}));
  }

  order(ranks: readonly number[], {kind}: types.Order) {
    return this.answer(
      kind,
      ranks.map((): types.OrderResult => 'done'),
    );
  }

  orderRemotely(ranks: readonly number[], order: types.Order) {
    return this.order(ranks, order);
  }

  orderThrough(_helper: number, _rank: number, {kind}: types.Order) {
    return this.answer<types.OrderResult>(kind, 'done');
  }

  private answer<T>(kind: types.OrderKind, result: T): Promise<T> {
    this.orderCount += 1;
    return kind === this.silentKind
      ? new Promise<T>(() => undefined)
      : Promise.resolve(result);
  }
}

/** Guards against a planner that waits in a change for ever and seems alive. */
describe('a map change whose orders never end', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it.each(['prepare', 'hold', 'arm', 'release'] as const)(
    'ends within its time limit, and orders nothing after it: %s',
    async kind => {
      const context = {
        group: 'g',
        ownRank: () => 0,
        ownState: async () => STATE,
        log: SILENT_LOG,
        metrics: new Metrics(),
      };
      const changer = new MapChanger(context as unknown as PlannerContext);
      const ranks = new SilentRanks(kind);
      let end: mapChange.ChangeOutcome | undefined;
      const run = changer.run(
        {
          sets: 1,
          experts: 4,
          places: 2,
          spare: 1,
          share: 0.5,
          copyMs: COPY_MS,
          formMs: 100,
        },
        {
          epoch: 1,
          ranks: ranks as unknown as GroupRanks,
          version: 0,
          map: MAP,
        },
        {
          version: 5,
          plan: {
            map: MAP,
            copies: 1,
            maxCopiesPerRank: 1,
            imbalanceBefore: 2,
            imbalanceAfter: 1,
          },
        },
      );
      void run.then(result => (end = result));
      await jest.advanceTimersByTimeAsync(MAX_CHANGE_MS);
      expect(end).toBeDefined();
      const sent = ranks.orderCount;
      await jest.advanceTimersByTimeAsync(MAX_CHANGE_MS);
      expect(ranks.orderCount).toBe(sent);
    },
  );
});
