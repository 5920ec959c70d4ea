import * as random from '../random';
import type {Call} from './call';
import type {ForwarderContext} from './forwarder';
import {RefusalBuilder} from './refusal-builder';
import type * as types from './types';

const OVERLOADED = {service: 's', rank: 0} as Parameters<
  RefusalBuilder['overloaded']
>[1];

// Guards against callers that are told to return at once, where the request is
// refused at the end of its route's time limit and its caller has more time left.
describe('a request refused at the end of its time limit', () => {
  const builder = new RefusalBuilder({
    metrics: {count: () => undefined},
    log: {event: () => undefined},
    configuration: {table: undefined},
    gate: {closedMs: () => 500, hasBeenOpen: () => true},
    targets: {unavailabilityOf: () => undefined},
  } as unknown as ForwarderContext);
  const call = {timeLeftMs: 10, callerTimeLeftMs: 1_000} as Call;

  const refusals: Array<[string, () => types.Refusal]> = [
    ['closed group', () => builder.closedGroup(call, 's', 'g', 0)],
    ['full target', () => builder.targetFull(call, 's')],
    [
      'overload',
      () => builder.overloaded(call, OVERLOADED, undefined, undefined),
    ],
  ];

  it.each(refusals)(
    'has a Retry-After by the time that its caller has left: %s',
    (_, refuse) => {
      random.seed(1);
      const refusal = refuse();
      expect(refusal).toMatchObject({kind: 'not-run'});
      const {retryMs} = refusal as {retryMs: number};
      expect(retryMs).toBeGreaterThanOrEqual(200);
      expect(retryMs).toBeLessThanOrEqual(1_000 / 3);
    },
  );
});
