import * as retryDelays from '../forwarding/retry-delays';
import {RetrySchedule} from '../forwarding/retry-schedule';
import * as kit from './load-kit';
import type {WaitingRequest} from './types';

const SECOND_MS = 1_000;
/** Requests per second that the targets serve at 50 ms. */
const CAPACITY = 160;

/** Callers that make one retry after the time that their refusal states. */
class RetryingCallers {
  /** Refused requests whose callers have no attempt left. */
  readonly lost: kit.Response[] = [];
  private readonly schedule = new RetrySchedule();

  constructor(private readonly simulation: kit.LoadSimulation) {
    simulation.onRefusal = response => this.onRefusal(response);
  }

  private onRefusal(response: kit.Response): void {
    const {request} = response;
    if (request.isRetry) {
      this.lost.push(response);
      return;
    }
    const {account, priority, cost, deadlineAt} = request;
    const changes = {account, priority, cost, deadlineAt, isRetry: true};
    setTimeout(
      () => void this.simulation.send(changes),
      this.retryMs(response),
    );
  }

  /** The same as for a refusal by an entry. */
  private retryMs({request, details}: kit.Response): number {
    const now = performance.now();
    const leftMs = request.deadlineAt - now;
    const {waitMs, perSecond} = details!.newcomer;
    if (waitMs === undefined || perSecond <= 0) {
      return retryDelays.afterOverload(leftMs);
    }
    const scheduledMs = this.schedule.nextDelayMs(
      `s ${request.priority}`,
      waitMs,
      SECOND_MS / perSecond,
      now,
    );
    return retryDelays.afterLimit(scheduledMs, leftMs);
  }
}

describe('admission under a load beyond the capacity', () => {
  let simulation: kit.LoadSimulation;

  beforeEach(() => {
    jest.useFakeTimers();
    simulation = new kit.LoadSimulation();
  });

  afterEach(() => {
    simulation.controller.close();
    jest.useRealTimers();
  });

  const timelyShare = (
    since: number,
    matches?: (request: WaitingRequest) => boolean,
  ) => kit.shareOf(simulation.responsesSince(since, matches), kit.isTimely);

  /** Waits until all requests have been answered. */
  const settle = () => simulation.run([], 5_000);

  // Guards against a backlog that keeps new requests from being in time, and
  // against callers that are lost although late service was possible. A kind is
  // penalised that is served 5 percentage points less often than another.
  it('serves new and old requests when all callers return at once', async () => {
    const capacity = 300;
    const kinds = [
      {part: 0.25, changes: {priority: 0, account: 'a', cost: 1}},
      {part: 0.5, changes: {priority: 1, account: 'large', cost: 1}},
      {part: 0.15, changes: {priority: 1, account: 'small', cost: 1}},
      {part: 0.1, changes: {priority: 1, account: 'large', cost: 8}},
    ];
    const isOf =
      ({changes}: (typeof kinds)[number]) =>
      ({account, cost}: WaitingRequest) =>
        account === changes.account && cost === changes.cost;
    // Falls to a third within two seconds.
    const arrivalsAt = (elapsedMs: number) =>
      280 * (1 - (2 / 3) * Math.min(elapsedMs / 2_000, 1));
    simulation.serviceMs = (simulation.targets.slots * SECOND_MS) / capacity;
    simulation.timeoutMs = 8_000;
    const callers = new RetryingCallers(simulation);
    const startedAt = performance.now();
    for (const {part, changes} of kinds) {
      for (let at = 0; at < 600 * part; at += 1) {
        void simulation.send(changes);
      }
    }
    const loads = kinds.map(({part, changes}) => ({
      perSecond: (elapsedMs: number) => part * arrivalsAt(elapsedMs),
      changes,
    }));
    await simulation.run(loads, 6_000);
    await settle();

    const isFirst = ({isRetry}: WaitingRequest) => !isRetry;
    expect(timelyShare(startedAt + 2_000, isFirst)).toBeGreaterThanOrEqual(0.8);
    const firsts = simulation.responsesSince(startedAt, isFirst);
    expect(callers.lost.length / firsts.length).toBeLessThanOrEqual(0.02);
    for (const kind of kinds) {
      const lost = callers.lost.filter(({request}) => isOf(kind)(request));
      const all = firsts.filter(({request}) => isOf(kind)(request));
      expect(lost.length / all.length).toBeLessThanOrEqual(0.05);
    }
  });

  // Guards against a queue that holds the requests that can't be served, and
  // against capacity that late requests take from those in time.
  it('refuses at once what a lasting overload leaves unserved', async () => {
    const loads = [
      {perSecond: 60, changes: {priority: 0, account: 'a', cost: 1}},
      {perSecond: 197, changes: {priority: 2, account: 'large', cost: 1}},
      {perSecond: 30, changes: {priority: 2, account: 'small', cost: 1}},
      {perSecond: 23, changes: {priority: 2, account: 'large', cost: 8}},
    ];
    await simulation.run(loads, 1_200);
    const since = performance.now();
    await simulation.run(loads, 6_000);
    await settle();

    const shareOfKind = (account: string, cost: number) =>
      timelyShare(since, one => one.account === account && one.cost === cost);
    expect(shareOfKind('a', 1)).toBeGreaterThanOrEqual(0.9);
    expect(shareOfKind('small', 1)).toBeGreaterThanOrEqual(0.85);
    const large = timelyShare(since, one => one.account === 'large');
    expect(shareOfKind('large', 8)).toBeGreaterThanOrEqual(large / 2);
    const responses = simulation.responsesSince(since);
    const timely = responses.filter(kit.isTimely);
    expect(timely.length).toBeGreaterThanOrEqual(0.9 * CAPACITY * 6);
    const refused = responses.filter(({kind}) => kind === 'refused');
    const isEarly = ({ms}: kit.Response) => ms <= kit.OBJECTIVE_MS / 4;
    expect(kit.shareOf(refused, isEarly)).toBeGreaterThanOrEqual(0.9);
  });

  // Guards against a lower priority that delays a higher one by a burst, and
  // against refusals of what the capacity left after the burst could serve late.
  it('serves a short burst of a lower priority with what is left', async () => {
    const urgent = {perSecond: 80, changes: {priority: 0}};
    const batch = {perSecond: 40, changes: {priority: 2}};
    const isUrgent = ({priority}: WaitingRequest) => priority === 0;
    await simulation.run([urgent, batch], 2_000);
    const since = performance.now();
    await simulation.run([urgent, {...batch, perSecond: 400}], 500);
    const until = performance.now();
    await simulation.run([urgent, batch], 3_000);
    await settle();

    expect(timelyShare(since, isUrgent)).toBeGreaterThanOrEqual(0.9);
    expect(timelyShare(until, one => !isUrgent(one))).toBeGreaterThanOrEqual(
      0.8,
    );
    const burst = simulation
      .responsesSince(since, one => !isUrgent(one))
      .filter(({request}) => request.arrivedAt < until);
    const served = burst.filter(({kind}) => kind === 'served');
    // The others take 80 per second, and 40 more after the burst.
    const left = (CAPACITY - 80) * 1.7 - 40 * 1.2;
    expect(served.length).toBeGreaterThanOrEqual(0.8 * left);
  });
});
