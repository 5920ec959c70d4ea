import * as v from 'valibot';
import {ArrivalOrder} from '../admission/arrival-order';
import {waitingRequest} from '../admission/request-kit';
import {ServiceQueue} from '../admission/service-queue';
import * as queuesPage from '../observability/queues-page';
import {QueuesReporter, QueuesReporterContext} from './queues-reporter';
import {RecentRefusals} from './recent-refusals';

const NOW = 20_000;
const ACCOUNTS = 100;

/** An entry where each account has a request waiting in each service. */
function reporterOf(services: number, nameLength = 0): QueuesReporter {
  const nameOf = (at: number) => `a${at}`.padEnd(nameLength, 'x');
  const names = Array.from({length: ACCOUNTS}, (_, at) => nameOf(at));
  const states = Array.from({length: services}, (_, at) => {
    const queue = new ServiceQueue(new ArrivalOrder(), 0.1);
    names.forEach((account, of) =>
      queue.push(waitingRequest({account, arrivedAt: NOW - of}), NOW),
    );
    queue.push(waitingRequest({account: names[99], priority: 0}), NOW);
    return {service: `s${at}`.padEnd(nameLength, 'y'), queue};
  });
  const recent = new RecentRefusals();
  recent.note(states[0]!.service, 'late', NOW - 12_000);
  recent.note(states[0]!.service, 'late', NOW - 8_000);
  const admission = {services: {values: () => states}, inFlight: () => 3};
  const weights = new Map(names.map(name => [name, 2]));
  const targets = states.map(({service}) => ({service, group: undefined}));
  return new QueuesReporter({
    cfg: {id: 'e', admission: {isEnabled: true, weights, floorShare: 0.1}},
    targets: {all: () => targets},
    finder: {admission, refusals: {recent}},
    shares: {lastStateOf: () => ({share: 4, capacity: 9, at: 0})},
  } as unknown as QueuesReporterContext);
}

function pageOf(reporter: QueuesReporter): queuesPage.QueuesPage {
  const text = reporter.format(NOW);
  expect(Buffer.byteLength(text)).toBeLessThanOrEqual(64 * 1024);
  return v.parse(queuesPage.queuesPageSchema, JSON.parse(text));
}

// Guards against a page that grows with the accounts, and against requests that
// it leaves out of its sums.
describe('the page of the queues', () => {
  it('lists the 64 accounts with the most requests and combines the others', () => {
    const page = pageOf(reporterOf(1));
    const [{lines, ...report}] = page.services as [queuesPage.ServiceReport];
    expect(report).toEqual({
      service: 's0',
      waiting: 101,
      starts: {},
      refusals: {late: 1},
      pools: [{pool: 's0', share: 4, inFlight: 3, capacity: 9}],
    });
    expect(lines[0]).toEqual({
      priority: 0,
      account: 'a99',
      waiting: 1,
      oldestMs: NOW,
    });
    expect(new Set(lines.map(({account}) => account)).size).toBe(65);
    const other = lines.find(({account}) => account === 'other');
    expect(other).toMatchObject({priority: 1, waiting: 36, oldestMs: 98});
    expect(Object.keys(page.weights)).toHaveLength(64);
    expect(page.omittedWeights).toBe(36);
  });

  it.each([
    [5, 300],
    [40, 1_000],
  ])('stays within 64 KiB with %d services and long names', (count, length) => {
    const {services, omittedServices} = pageOf(reporterOf(count, length));
    expect(services.length).toBeGreaterThan(0);
    expect(services.length + omittedServices).toBe(count);
    for (const {lines} of services) {
      expect(lines.reduce((sum, {waiting}) => sum + waiting, 0)).toBe(101);
    }
  });
});
