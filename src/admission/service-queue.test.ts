import {FairDeadlineOrder} from './fair-deadline-order';
import {waitingRequest} from './request-kit';
import {ServiceQueue} from './service-queue';
import type {WaitingRequest} from './types';

const NOW = 10_000;
const FIRST_ATTEMPT = waitingRequest({
  arrivedAt: NOW,
  objectiveAt: NOW + 250,
  deadlineAt: NOW + 1_500,
});
const RETRY = {...FIRST_ATTEMPT, isRetry: true};

/** A queue after so many starts in the last second. */
function queueAfter(starts: number, inFlight: number, meanMs?: number) {
  const order = new FairDeadlineOrder<WaitingRequest>(0.1);
  const queue = new ServiceQueue<WaitingRequest>(order, 0.1);
  for (let at = 0; at < starts; at += 1) {
    queue.noteStart(FIRST_ATTEMPT, NOW - 500);
  }
  for (let at = inFlight; at < starts; at += 1) {
    queue.noteEnd(meanMs);
  }
  return queue;
}

function verdictOn(queue: ServiceQueue<WaitingRequest>, item: WaitingRequest) {
  return queue.verdict(item, NOW, true);
}

// Guards against predictions for an urgent kind by the starts of a less urgent one
// of the same account's priority.
it('the starts of higher ranks delay those of lower ones', () => {
  const queue = queueAfter(0, 0);
  const [urgent, batch] = [1_000, 1_002].map(rank => ({
    ...FIRST_ATTEMPT,
    rank,
  }));
  for (let at = 0; at < 20; at += 1) {
    queue.noteStart(at < 15 ? urgent! : batch!, NOW - 500);
    queue.noteEnd(40);
  }
  expect(queue.predict(urgent!, NOW).perSecond).toBe(20);
  expect(queue.predict(batch!, NOW).perSecond).toBe(5);
});

// Guards against refusals because few requests have arrived.
describe('the prediction after few starts', () => {
  it('expects a place when one of the requests in flight ends', () => {
    const queue = queueAfter(2, 1, 40);
    const {waitMs} = queue.predict(FIRST_ATTEMPT, NOW);
    expect(waitMs).toBeLessThanOrEqual(40);
    expect(verdictOn(queue, FIRST_ATTEMPT)).toBe(undefined);
  });

  it('still does so once requests have waited for a second', () => {
    const queue = queueAfter(3, 2, 40);
    queue.push(waitingRequest({arrivedAt: NOW - 1_100}), NOW - 1_100);
    expect(queue.predict(FIRST_ATTEMPT, NOW).waitMs).toBeLessThanOrEqual(40);
  });

  it('is not made without a mean duration', () => {
    const queue = queueAfter(3, 1);
    expect(queue.predict(FIRST_ATTEMPT, NOW).waitMs).toBe(undefined);
    expect(verdictOn(queue, FIRST_ATTEMPT)).toBe(undefined);
  });

  it('is not made if nothing is in flight', () => {
    const queue = queueAfter(3, 0, 40);
    expect(queue.predict(FIRST_ATTEMPT, NOW).waitMs).toBe(undefined);
  });

  it('refuses no request on arrival', () => {
    const queue = queueAfter(4, 1, 5_000);
    queue.notePassMs(20);
    queue.push(waitingRequest({arrivedAt: NOW - 1_100}), NOW - 1_100);
    expect(verdictOn(queue, FIRST_ATTEMPT)).toBe(undefined);
    expect(verdictOn(queue, RETRY)).toBe(undefined);
  });
});

// Guards against requests that are held although no start can be expected, and
// against refusals of ones that can be served late.
describe('the prediction of late service', () => {
  /** A queue in which requests have waited for so long, after six starts. */
  function waitingFor(ms: number): ServiceQueue<WaitingRequest> {
    const queue = queueAfter(6, 6, 5_000);
    queue.notePassMs(20);
    queue.push({...RETRY, arrivedAt: NOW - ms}, NOW - ms);
    return queue;
  }

  function pushRetries(queue: ServiceQueue<WaitingRequest>): void {
    for (let at = 0; at < 60; at += 1) {
      queue.push({...RETRY}, NOW);
    }
  }

  it('is not made until requests have waited for a second', () => {
    const queue = waitingFor(900);
    pushRetries(queue);
    expect(verdictOn(queue, FIRST_ATTEMPT)).toBe(undefined);
    expect(verdictOn(queue, RETRY)).toBe(undefined);
  });

  it('refuses first attempts where no late request starts', () => {
    const queue = waitingFor(1_100);
    expect(verdictOn(queue, FIRST_ATTEMPT)).toBe('late');
    expect(verdictOn(queue, RETRY)).toBe(undefined);
    // A retry is refused only if it would wait three times too long.
    pushRetries(queue);
    expect(verdictOn(queue, RETRY)).toBe('late');
  });

  it('lets requests wait for the starts that those in time leave', () => {
    const queue = waitingFor(1_100);
    for (let at = 0; at < 4; at += 1) {
      queue.noteStart({...FIRST_ATTEMPT, objectiveAt: 0}, NOW - 400);
    }
    // Late requests got four of the ten starts: one waits 125 ms.
    expect(queue.predictLateWaitMs(FIRST_ATTEMPT, NOW)).toBe(125);
    expect(verdictOn(queue, FIRST_ATTEMPT)).toBe(undefined);
  });

  // Guards against refusals by the first starts after an outage.
  it('begins anew when nothing has started for a second', () => {
    const queue = waitingFor(3_000);
    for (let at = 0; at < 6; at += 1) {
      queue.noteStart(FIRST_ATTEMPT, NOW + 1_000);
    }
    expect(queue.predictLateWaitMs(FIRST_ATTEMPT, NOW + 1_900)).toBe(undefined);
  });
});
