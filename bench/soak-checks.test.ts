/**
 * The checks of the soak test of a site, on entries that break the guarantees.
 * Guards against a soak test that passes because it detects nothing.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as faults from '../features/support/faults';
import {pause} from '../features/support/fleet';
import {HEADERS} from '../platform/names';
import * as random from '../src/random';
import * as soakCallers from './soak-callers';
import * as checks from './soak-checks';
import {SoakTarget} from './soak-target';

const HOST = '127.0.0.1';
const TARGET = 'i-0';
const TIME_LIMIT_MS = 1_500;
const KIND: soakCallers.CallerKind = {name: 'order', rank: 0, perSecond: 25};

type Handler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** Sends a caller's request to the target; resolves when it is answered. */
function forward(
  req: http.IncomingMessage,
  address: string,
  attempt = String(req.headers[HEADERS.requestId.toLowerCase()]),
): Promise<http.IncomingMessage> {
  const headers = {
    [HEADERS.requestId]: attempt,
    [HEADERS.expectedTarget]: TARGET,
  };
  return new Promise(resolve => {
    const sent = http.get(`http://${address}${req.url}`, {
      agent: false,
      headers,
    });
    sent.on('response', resolve);
    sent.on('error', () => undefined);
  });
}

describe('the checks of the soak test, at an entry of a target', () => {
  let report: faults.SoakReport;
  let all: checks.Check[];
  let target: SoakTarget;
  let targetAddress: string;
  let server: http.Server;
  let callers: soakCallers.Callers;
  let slow: soakCallers.SlowReaders;

  const emit = (event: checks.SoakEvent) =>
    all.forEach(check => check.observe(event));

  beforeEach(async () => {
    report = new faults.SoakReport();
    all = [
      new checks.NotRunCheck('notRun', report),
      new checks.RunOnceCheck(report, () => false),
      new checks.ColdBoundCheck(report, 12.5),
      new checks.UnreadAnswerCheck('unreadAnswers', report),
    ];
    target = new SoakTarget(TARGET, emit);
    targetAddress = await target.open(HOST);
  });

  afterEach(() => {
    slow.close();
    server.close();
    server.closeAllConnections();
    target.close();
  });

  async function openEntry(handler: Handler): Promise<void> {
    server = http.createServer(handler);
    await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
    const {port} = server.address() as net.AddressInfo;
    const options = {
      entries: [`${HOST}:${port}`],
      host: 'a.example',
      keys: ['key-1', 'key-2'],
      timeLimitMs: TIME_LIMIT_MS,
      emit,
    };
    callers = new soakCallers.Callers(options);
    slow = new soakCallers.SlowReaders(options, TIME_LIMIT_MS);
  }

  async function sendFor(ms: number): Promise<string[]> {
    const sends = callers.send(KIND);
    await pause(ms);
    await Promise.all([callers.stop(), sends]);
    emit({kind: 'tick', at: performance.now()});
    return report.violations;
  }

  it('detect nothing where the guarantees are kept', async () => {
    const from = performance.now();
    emit({kind: 'cold', target: TARGET, from, until: from + 1_000});
    let sent = 0;
    await openEntry(async (req, res) => {
      sent += 1;
      if (sent > 8) {
        res.writeHead(503, {[HEADERS.retryAfter]: '0.1'}).end();
        return;
      }
      (await forward(req, targetAddress)).pipe(res);
    });
    expect(await sendFor(1_200)).toEqual([]);
    expect(all.map(check => check.count > 0)).toEqual([true, true, true, true]);
  });

  it('detect that a request reported as not run has run', async () => {
    await openEntry(async (req, res) => {
      (await forward(req, targetAddress)).resume();
      res.writeHead(503).end();
    });
    const [first] = await sendFor(400);
    expect(first).toMatch(/request a-\d+ was answered with 503 and ran/);
  });

  it('detect that a request reported as not run runs later', async () => {
    await openEntry(async (req, res) => {
      res.writeHead(429).end();
      await pause(100);
      (await forward(req, targetAddress)).resume();
    });
    await sendFor(400);
    await pause(200);
    expect(report.violations[0]).toMatch(/was answered with 429 and ran/);
  });

  it('detect that a request that may not be repeated runs twice', async () => {
    await openEntry(async (req, res) => {
      (await forward(req, targetAddress)).resume();
      (await forward(req, targetAddress, 'second')).pipe(res);
    });
    const [first] = await sendFor(500);
    expect(first).toMatch(
      /request \/order\/\d+ ran twice, as a-\d+ and second/,
    );
  });

  it('detect that a cold target receives too much', async () => {
    const from = performance.now();
    emit({kind: 'cold', target: TARGET, from, until: from + 1_000});
    await openEntry(async (req, res) => {
      (await forward(req, targetAddress)).pipe(res);
    });
    const violations = await sendFor(1_200);
    expect(violations).toHaveLength(1);
    expect(violations[0]).toMatch(/cold target i-0 received \d+ requests/);
  });

  it('detect an answer that the entry leaves unread', async () => {
    await openEntry(async (req, res) => {
      (await forward(req, targetAddress)).pause();
      res.writeHead(200).flushHeaders();
    });
    slow.open(1);
    await pause(2_000);
    emit({kind: 'tick', at: performance.now()});
    expect(report.violations).toEqual([]);
    await pause(1_500);
    emit({kind: 'tick', at: performance.now()});
    expect(report.violations).toHaveLength(1);
    expect(report.violations[0]).toMatch(/of a target was unread for \d+ ms/);
  });
});

describe('RankCheck', () => {
  let report: faults.SoakReport;
  let check: checks.RankCheck;

  beforeEach(() => {
    report = new faults.SoakReport();
    check = new checks.RankCheck(report, TIME_LIMIT_MS);
    check.observe({kind: 'fault-over', at: 0});
  });

  /** Ten calls of each rank in every second, of which so many are served. */
  function play(seconds: number, served: readonly number[]): void {
    for (let at = 0; at < seconds * 10; at += 1) {
      served.forEach((perSecond, rank) =>
        check.observe({
          kind: 'ended',
          rank,
          arrivedAt: at * 100,
          isServed: at % 10 < perSecond,
        }),
      );
    }
    check.observe({kind: 'fault', at: seconds * 1_000});
  }

  it.each([
    ['equally', [8, 8]],
    ['more often', [9, 5]],
  ])('accepts a highest rank that is served %s', (_, served) => {
    play(16, served);
    expect(report.violations).toEqual([]);
    expect(check.count).toBe(3);
  });

  it('detects a highest rank that is served less often', () => {
    play(16, [7, 8]);
    expect(report.violations).toHaveLength(1);
    expect(report.violations[0]).toMatch(
      /highest rank was served at 0.700 over 10 s without a fault, a lower one at 0.800/,
    );
  });

  it('compares nothing within 10 s of a fault and its recovery', () => {
    play(13, [0, 10]);
    expect([report.violations, check.count]).toEqual([[], 0]);
  });
});

describe('HeldBytesCheck', () => {
  it('detects an entry that holds more than its bound, once per process', () => {
    const report = new faults.SoakReport();
    const check = new checks.HeldBytesCheck(report, 10_000_000);
    for (const peakBytes of [1e7, 1.05e7, 1.2e7, 1.2e7, 1.3e7, 1, 1.1e7]) {
      check.observe({kind: 'held', entry: 'entry-0', peakBytes, at: 0});
    }
    expect(report.violations).toHaveLength(2);
    expect(report.violations[0]).toMatch(/entry-0 held 12000000 bytes/);
    expect(report.violations[1]).toMatch(/entry-0 held 11000000 bytes/);
  });
});

describe('FaultSchedule', () => {
  class Counted extends faults.Fault {
    async inject(): Promise<void> {
      await pause(0);
    }
  }

  const pace: faults.Pace = {
    durationMs: () => random.integerBelow(100),
    pauseMs: () => random.integerBelow(10),
  };

  async function run(seed: number): Promise<string[]> {
    random.seed(seed);
    const kinds = ['kill', 'freeze'].map(kind => new Counted(kind));
    const ids = ['entry-0', 'entry-1'];
    const schedule = new faults.FaultSchedule(kinds, ids, pace, 60);
    // Other users of random numbers must not change what was drawn.
    random.uniform();
    const report = new faults.SoakReport();
    await schedule.run(report);
    return report.faults.map(text => text.replace(/^[\d.]+ s: /, ''));
  }

  it('injects the same faults in the same order for a seed', async () => {
    const [first, again, other] = [await run(1), await run(1), await run(2)];
    // How many of them fit into the time differs.
    expect(again.slice(0, 3)).toEqual(first.slice(0, 3));
    expect(other.slice(0, 3)).not.toEqual(first.slice(0, 3));
    expect(first.length).toBeGreaterThanOrEqual(3);
  });
});
