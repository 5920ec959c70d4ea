import {EVENTS} from '../observability/catalogue';
import {CourseReader} from './request-course';
import {formatCourse} from './request-course-text';

const START = Date.UTC(2026, 0, 1, 12);

/** A log line of `process` that many milliseconds after the start. */
function line(
  name: keyof typeof EVENTS,
  atMs: number,
  fields: object,
  process = 'entry-0',
): string {
  const time = new Date(START + atMs).toISOString();
  const {id: event, level, text} = EVENTS[name];
  return JSON.stringify({time, level, event, text, process, ...fields});
}

function refusal(atMs: number, request: string, fields: object, from?: string) {
  const overloaded = {kind: 'overloaded', service: 'svc', reason: 'late'};
  const details = {account: 'a', priority: 2, ahead: 31, waitMs: 5};
  const all = {request, ...overloaded, ...details, ...fields};
  return line('requestRefused', atMs, all, from);
}

function summary(atMs: number, fields: object, from?: string): string {
  const counts = {waiting: 40, oldestMs: 300, byPriority: {0: 2, 2: 38}};
  const most = {account: 'large', accountWaiting: 38};
  const all = {service: 'svc', ...counts, ...most, ...fields};
  return line('admissionQueued', atMs, all, from);
}

function explain(request: string, lines: readonly string[]): string {
  const reader = new CourseReader(request);
  lines.forEach(one => reader.addLine(one));
  return formatCourse(reader.course());
}

describe('the course of a request', () => {
  // Guards against a refusal without its reason, and against naming what other
  // entries, services or seconds served instead.
  it('tells that it was refused for requests of a higher priority', () => {
    const text = explain('r', [
      summary(0, {starts: {0: 999}}),
      refusal(1_450, 'earlier', {account: 'too-early'}),
      summary(1_900, {
        starts: {0: 60, 2: 90},
        accountStarts: {large: 120, small: 30},
      }),
      summary(1_950, {starts: {0: 998}}, 'entry-1'),
      summary(1_960, {starts: {0: 997}, service: 'other'}),
      refusal(2_400, 'x', {account: 'large'}),
      refusal(2_410, 'y', {account: 'large'}),
      refusal(2_500, 'r', {
        reason: 'share',
        predictedMs: 410,
        retryMs: 300,
        routePriority: 1,
      }),
      refusal(2_510, 'z', {account: 'too-late'}),
      line('requestEnded', 2_501, {
        request: 'r',
        route: 'batch',
        outcome: 'overloaded',
        status: 503,
        target: '',
        sends: 0,
        ms: 6,
      }),
    ]);
    expect(text.split('\n')).toEqual([
      'request r',
      '2026-01-01T12:00:02.495Z  entry-0  arrived, route batch',
      '2026-01-01T12:00:02.500Z  entry-0  refused: overloaded, reason share, account a, priority 2, priority of the route 1',
      '    waited 5 ms, 31 requests ahead of it; predicted wait 410 ms',
      "    limited by: this entry's share of the pool",
      '    caller told to retry after 300 ms',
      '    served instead, in the second before 2026-01-01T12:00:01.900Z: priority 2: 90, priority 0: 60; large: 120, small: 30',
      '    waiting then: 40, the oldest for 300 ms; priority 2: 38, priority 0: 2; most of account large (38)',
      '    refused in the second before: priority 2: 2; large: 2',
      '2026-01-01T12:00:02.501Z  entry-0  ended: overloaded, status 503, sends 0, ms 6',
    ]);
  });

  it.each([
    [{limitedBy: 'late', most: 300, requests: 301}, '(late): 301 requests'],
    [{}, 'the slots of the targets'],
    [{kind: 'targets-limited', limit: 5}, 'permits'],
    [{kind: 'targets-resting', restMs: 70}, 'cooldown of the targets (70 ms'],
    [{reason: 'full'}, 'this entry keeps waiting'],
  ])('names the limit of the refusal %j', (fields, limit) => {
    expect(explain('r', [refusal(0, 'r', fields)])).toContain(limit);
  });

  // Guards against a wait that can't be told from a slow target, and against
  // lines in the order of the files instead of that of time.
  it('tells how long it waited for what, in two processes', () => {
    const sent = {request: 'r', target: 'i-1', outcome: 'answered'};
    const text = explain('r', [
      line('requestSent', 900, {...sent, send: 1, status: 200}, 'entry-1'),
      line('requestSent', 400, {
        ...sent,
        send: 1,
        outcome: 'not-run',
        status: 503,
        waitMs: 250,
        queued: 7,
        waitedFor: 'closed-group',
      }),
      line('requestRetried', 401, {
        request: 'r',
        target: 'i-1',
        allowed: false,
      }),
    ]);
    expect(text.split('\n').slice(1)).toEqual([
      expect.stringMatching(/entry-0 {2}send 1 to i-1: not-run, status 503$/),
      '    had waited 250 ms; 7 requests waited when it came',
      '    limited by: the group was closed',
      expect.stringMatching(/entry-0 .*retried, target i-1, allowed false$/),
      expect.stringMatching(/entry-1 {2}send 1 to i-1: answered, status 200$/),
    ]);
  });

  // Guards against one bad line that hides all others.
  it('counts unreadable lines and reads those with a prefix', () => {
    const whole = refusal(0, 'r', {});
    const text = explain('r', [
      whole.slice(0, -5),
      'started',
      '',
      whole.replace('"kind":"overloaded"', '"kind":7'),
      `entry-0 | {pid 7} ${whole}`,
    ]);
    expect(text).toContain('refused: overloaded');
    expect(text).toContain('served instead: not known');
    expect(text).toMatch(/\n3 lines could not be read$/);
  });

  it('has no steps if no line has the id', () => {
    const reader = new CourseReader('r');
    reader.addLine(refusal(0, 'r2', {}));
    expect(reader.course().steps).toEqual([]);
  });
});
