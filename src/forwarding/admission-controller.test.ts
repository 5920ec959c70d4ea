import type {
  Admittee,
  Attempt,
  Blocked,
  RefusalDetails,
  Started,
} from '../admission/admittee';
import {ArrivalOrder} from '../admission/arrival-order';
import {FairDeadlineOrder} from '../admission/fair-deadline-order';
import {waitingRequest} from '../admission/request-kit';
import type {WaitingRequest} from '../admission/types';
import {CapacityShares, UnlimitedShares} from '../capacity/types';
import {Metrics} from '../observability/metrics';
import {AdmissionController} from './admission-controller';

type Item = Admittee<string, RefusalDetails | undefined>;

const SERVICE_MS = 50;
const OBJECTIVE_MS = 250;
const DURATION_MS = 6_000;
/** Requests per second that the targets serve. */
const CAPACITY = 160;

const STARTED: Started<string> = {kind: 'started', value: 't', pool: 's'};
const BLOCKED: Blocked = {
  kind: 'blocked',
  why: 'capacity',
  isOwn: false,
  waitsUntil: Infinity,
  passMs: undefined,
  pools: ['s'],
};

interface Load {
  readonly perSecond: number;
  readonly changes?: Partial<WaitingRequest>;
}

interface Response {
  readonly kind: 'served' | 'refused';
  readonly request: WaitingRequest;
  readonly ms: number;
  readonly details?: RefusalDetails;
}

/** Two targets of four slots that queue two more requests each. */
class Targets {
  slots = 8;
  placesPerSlot = 1.5;
  private readonly freeAt: number[] = [];

  /** Maximum requests in flight. */
  get places(): number {
    return this.slots * this.placesPerSlot;
  }

  /** Milliseconds until a request that is sent now is answered. */
  send(durationMs: number): number {
    const now = performance.now();
    this.freeAt.sort((a, b) => a - b);
    const isQueued = this.freeAt.length >= this.slots;
    const free = isQueued ? Math.max(this.freeAt.shift()!, now) : now;
    this.freeAt.push(free + durationMs);
    return free + durationMs - now;
  }
}

// Simulated requests and targets; time is the fake timers'.
describe('admission under load', () => {
  let targets: Targets;
  let controller: AdmissionController<string, RefusalDetails | undefined>;
  let responses: Response[];
  let hasObjective: boolean;

  beforeEach(() => {
    jest.useFakeTimers();
    targets = new Targets();
    responses = [];
    hasObjective = true;
    open(new UnlimitedShares());
  });

  afterEach(() => {
    controller.close();
    jest.useRealTimers();
  });

  function open(shares: CapacityShares): void {
    controller = new AdmissionController({
      shares,
      floorShare: 0.1,
      hasObjective: () => hasObjective,
      makeOrder: fair =>
        fair ? new FairDeadlineOrder<Item>(0.1) : new ArrivalOrder<Item>(),
      log: {event: () => undefined},
      metrics: new Metrics(),
    });
  }

  function itemOf(changes: Partial<Item>): Item {
    const now = performance.now();
    return {
      ...waitingRequest({
        arrivedAt: now,
        objectiveAt: now + OBJECTIVE_MS,
        deadlineAt: now + 1_500,
      }),
      rank: changes.priority ?? 1,
      service: 's',
      bodyBytes: 100,
      signal: new AbortController().signal,
      unanswered: undefined,
      tryStart: () =>
        controller.inFlight('s') < targets.places ? STARTED : BLOCKED,
      refuse: details => details,
      ...changes,
    };
  }

  /** Sends a request through admission to the targets. */
  async function send(item: Item, durationMs = SERVICE_MS): Promise<void> {
    const admitted = await controller.admit(item);
    const elapsed = () => performance.now() - item.arrivedAt;
    if (!admitted.ok) {
      const details = admitted.error;
      responses.push({kind: 'refused', request: item, ms: elapsed(), details});
      return;
    }
    const workMs = targets.send(durationMs);
    await new Promise(resolve => setTimeout(resolve, workMs));
    admitted.value.ticket.release(true);
    responses.push({kind: 'served', request: item, ms: elapsed()});
  }

  async function run(loads: readonly Load[], durationMs = DURATION_MS) {
    const endsAt = performance.now() + durationMs;
    const dueAt = loads.map(() => performance.now());
    while (performance.now() < endsAt) {
      loads.forEach(({perSecond, changes}, at) => {
        while (dueAt[at]! <= performance.now()) {
          dueAt[at]! += 1_000 / perSecond;
          void send(itemOf({...changes}));
        }
      });
      await jest.advanceTimersByTimeAsync(1);
    }
  }

  const isTimely = ({kind, ms}: Response) =>
    kind === 'served' && ms <= OBJECTIVE_MS;

  /** Share of the requests that match that were served in time. */
  function timelyShare(matches: (request: WaitingRequest) => boolean): number {
    const matching = responses.filter(({request}) => matches(request));
    return matching.filter(isTimely).length / matching.length;
  }

  const perSecond = (matches: (response: Response) => boolean) =>
    (responses.filter(matches).length * 1_000) / DURATION_MS;

  // Guards against a burst of a lower priority that takes the places of the
  // higher one, and against capacity left unused because of it.
  it('serves the higher priority, and the lower with the remaining capacity', async () => {
    const loads = [
      {perSecond: 60, changes: {priority: 0}},
      {perSecond: 250, changes: {priority: 2}},
    ];
    await run(loads);
    expect(timelyShare(one => one.priority === 0)).toBeGreaterThan(0.9);
    const lower = (one: Response) =>
      isTimely(one) && one.request.priority === 2;
    expect(perSecond(lower)).toBeGreaterThan(0.8 * (CAPACITY - 60));
  });

  // Guards against lower priorities that starve behind a higher one.
  it('serves a tenth of a lower priority whatever the higher one offers', async () => {
    const loads = [
      {perSecond: 320, changes: {priority: 0}},
      {perSecond: 100, changes: {priority: 2}},
    ];
    await run(loads);
    const served = responses.filter(({kind}) => kind === 'served');
    const lower = served.filter(({request}) => request.priority === 2);
    expect(lower.length / served.length).toBeGreaterThan(0.095);
    expect(lower.length / served.length).toBeLessThan(0.15);
  });

  // Guards against an account at many times its share that crowds out others.
  it('serves an account that offers less than its share', async () => {
    const loads = [
      {perSecond: 320, changes: {account: 'large'}},
      {perSecond: 30, changes: {account: 'small'}},
    ];
    await run(loads);
    expect(timelyShare(one => one.account === 'small')).toBeGreaterThan(0.85);
    expect(perSecond(isTimely)).toBeGreaterThan(0.9 * CAPACITY);
  });

  // Guards against retries that are refused although slots beyond the limit for
  // the head of the queue are free: their callers have no attempt left.
  it('tries a retry as urgent before it would be refused', async () => {
    targets.slots = 0;
    const arrivedAt = performance.now();
    const mayUseSlots = () => performance.now() - arrivedAt > 1_050;
    void send(itemOf({objectiveAt: Infinity, deadlineAt: Infinity}));
    void send(
      itemOf({
        isRetry: true,
        deadlineAt: arrivedAt + 8_000,
        tryStart: () => (mayUseSlots() ? STARTED : BLOCKED),
      }),
    );
    await jest.advanceTimersByTimeAsync(1_300);
    const retries = responses.filter(({request}) => request.isRetry);
    expect(retries.map(({kind}) => kind)).toEqual(['served']);
  });

  // Guards against refusals while capacity is free, and after a long wait.
  it('gives a single account all the capacity', async () => {
    // Until requests have waited for a second, late service counts as possible.
    await run([{perSecond: 300}], 1_200);
    responses = [];
    await run([{perSecond: 300}]);
    expect(perSecond(isTimely)).toBeGreaterThan(0.9 * CAPACITY);
    const refused = responses.filter(({kind}) => kind === 'refused');
    const early = refused.filter(({ms}) => ms <= OBJECTIVE_MS / 4);
    expect(early.length / refused.length).toBeGreaterThan(0.9);
  });

  // Guards against refusals by a rate that only reflects what arrived before.
  it('refuses nothing of a burst that can be served in time', async () => {
    await run([{perSecond: 20}], 2_000);
    for (let at = 0; at < 25; at += 1) {
      void send(itemOf({}));
    }
    await jest.advanceTimersByTimeAsync(500);
    expect(responses.filter(one => !isTimely(one))).toEqual([]);
  });

  // Guards against refusals by the rate of an entry that gets few requests.
  it('serves two requests at once where one at a time may be in flight', async () => {
    const tryStart = (): Attempt<string> =>
      controller.inFlight('s') < 1 ? STARTED : {...BLOCKED, why: 'share'};
    for (let at = 0; at < 5; at += 1) {
      void send(itemOf({tryStart}));
      void send(itemOf({tryStart, isRetry: at % 2 === 1}));
      await jest.advanceTimersByTimeAsync(1_000);
    }
    expect(responses.map(isTimely)).toEqual(Array(10).fill(true));
  });

  // Without it an entry that no allocator answers can't tell a shortage.
  it('tells the sharing of capacity that requests found the targets full', async () => {
    const notes: Array<boolean | undefined> = [];
    class Shares extends CapacityShares {
      shareOf = () => undefined;
      noteUse = (_pool: string, _now: number, isFull?: boolean) =>
        void notes.push(isFull);
    }
    open(new Shares());
    void send(itemOf({isRetry: true, tryStart: () => BLOCKED}));
    const byShare: Blocked = {...BLOCKED, why: 'share'};
    await jest.advanceTimersByTimeAsync(1);
    expect(notes).toEqual([true]);
    controller.close();
    open(new Shares());
    void send(itemOf({isRetry: true, tryStart: () => byShare}));
    await jest.advanceTimersByTimeAsync(1);
    expect(notes).toEqual([true, false]);
  });

  // Guards against overload that sustains itself after its cause has ended.
  it('serves new requests in time once capacity has returned', async () => {
    const loads = [
      {perSecond: 120},
      {perSecond: 40, changes: {isRetry: true, account: 'b'}},
    ];
    await run(loads, 2_000);
    targets.slots = 0;
    await run(loads, 3_000);
    targets.slots = 8;
    await run(loads, 2_000);
    responses = [];
    await run(loads, 2_000);
    expect(timelyShare(() => true)).toBeGreaterThan(0.9);
  });

  // Guards against large requests that are refused because of their size.
  it('serves large requests at half the rate of their kind at least', async () => {
    const loads = [
      {perSecond: 270, changes: {cost: 1_000}},
      {perSecond: 30, changes: {cost: 8_000}},
    ];
    await run(loads);
    const large = timelyShare(one => one.cost === 8_000);
    expect(large).toBeGreaterThan(timelyShare(() => true) / 2);
  });

  it('starts no more than its share of the pool', async () => {
    let share = 2;
    const used = new Set<string>();
    class Shares extends CapacityShares {
      shareOf = () => share;
      noteUse = (pool: string) => void used.add(pool);
    }
    open(new Shares());
    const tryStart = (): Attempt<string> =>
      controller.inFlight('s') < share ? STARTED : {...BLOCKED, why: 'share'};
    const objectiveAt = performance.now() + 1_000;
    for (let at = 0; at < 4; at += 1) {
      void send(itemOf({tryStart, objectiveAt, isRetry: true}), 5_000);
    }
    await jest.advanceTimersByTimeAsync(1);
    const line = {priority: 1, account: 'a', inFlight: 2, waiting: 2};
    expect(controller.demandOf('s', 's')).toEqual([line]);
    expect([...used]).toEqual(['s']);
    share = 3;
    controller.wake();
    expect(controller.inFlight('s')).toBe(3);
    await jest.advanceTimersByTimeAsync(1_200);
    expect(responses.map(one => one.details?.reason)).toEqual(['expired']);
  });

  it('refuses the last request above the bound of bodies', async () => {
    targets.slots = 0;
    const bodyBytes = 3 * 1024 * 1024;
    void send(itemOf({priority: 0, bodyBytes}));
    void send(itemOf({priority: 2, bodyBytes}));
    void send(itemOf({priority: 1, bodyBytes}));
    await jest.advanceTimersByTimeAsync(1);
    expect(responses).toMatchObject([
      {request: {priority: 2}, details: {reason: 'full'}},
    ]);
  });

  // Guards against work for callers that have left or given up meanwhile.
  it('drops requests whose callers have left or that a suspension outlasted', async () => {
    targets.slots = 0;
    const caller = new AbortController();
    void send(itemOf({isRetry: true, signal: caller.signal}));
    void send(itemOf({isRetry: true}));
    caller.abort();
    await jest.advanceTimersByTimeAsync(1);
    expect(responses.length).toBe(1);
    controller.noteSuspension(3_000);
    await jest.advanceTimersByTimeAsync(1);
    expect(responses[1]!.details?.reason).toBe('expired');
  });

  // Guards against requests that are held up by one that has tried the free
  // targets.
  it('lets others overtake a request that is blocked on its own', async () => {
    targets.slots = 0;
    const tryStart = () => ({...BLOCKED, isOwn: true});
    void send(itemOf({priority: 0, tryStart}));
    void send(itemOf({}));
    targets.slots = 8;
    controller.wake();
    expect(controller.inFlight('s')).toBe(1);
  });

  // Guards against requests that leave permits to ones that wait for a group.
  it('leaves permits to the requests ahead that need them', async () => {
    const aheads: number[] = [];
    const tryStart = (_now: number, ahead: number): Attempt<string> => {
      aheads.push(ahead);
      return {...BLOCKED, why: 'unavailable'};
    };
    for (const needsPermit of [false, true, true, true]) {
      void send(itemOf({tryStart, needsPermit}));
    }
    expect(Math.max(...aheads)).toBe(2);
    expect(aheads.at(-1)).toBe(2);
  });

  it('uses no timer while nothing waits', async () => {
    void send(itemOf({}), 1);
    await Promise.resolve();
    // The one timer is that of the simulated target.
    expect(jest.getTimerCount()).toBe(1);
  });

  // Guards against a change for deployments without objectives.
  it('refuses at once without an objective where nothing may wait', async () => {
    hasObjective = false;
    targets.slots = 0;
    const waits = (waitsUntil: number) =>
      itemOf({tryStart: () => ({...BLOCKED, waitsUntil})});
    void send(waits(-Infinity));
    void send(waits(performance.now() + 1_000));
    await jest.advanceTimersByTimeAsync(900);
    expect(responses).toMatchObject([{kind: 'refused', ms: 0}]);
    expect(responses[0]!.details).toBe(undefined);
    await jest.advanceTimersByTimeAsync(200);
    expect(responses.length).toBe(2);
  });
});
