import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import {expectedText} from '../standins/engine';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';
import * as site from './support/site';

const feature = loadFeature(path.join(__dirname, 'cooldown.feature'));
/** Requests that arrive this soon after the first rejection were already in flight. */
const IN_FLIGHT_GRACE_MS = 500;
const COOLDOWN_MS = 2_000;
const MAX_REFUSAL_MS = 400;

interface TimedResponse {
  readonly response: testHttp.HttpResponse;
  readonly tookMs: number;
}

let fleet: fleets.Fleet;
let cooldownAddress = '';
let chats: testHttp.EventStream[];
let sent: TimedResponse[];

afterEach(async () => fleet.close());

async function sendAtRate<T>(
  perSecond: number,
  durationMs: number,
  send: (index: number) => Promise<T> | T,
): Promise<T[]> {
  const startedAt = Date.now();
  const results: Array<Promise<T> | T> = [];
  const count = (perSecond * durationMs) / 1_000;
  for (let index = 0; index < count; index += 1) {
    const sendAt = startedAt + (index * 1_000) / perSecond;
    await fleets.pause(Math.max(sendAt - Date.now(), 0));
    results.push(send(index));
  }
  return Promise.all(results);
}

async function measure(
  call: Promise<testHttp.HttpResponse>,
): Promise<TimedResponse> {
  const startedAt = Date.now();
  const response = await call;
  return {response, tookMs: Date.now() - startedAt};
}

function lookUp(index: number): Promise<TimedResponse> {
  return measure(
    testHttp.call(
      fleet.address(`entry-${index % 2}`),
      'GET',
      '/ledger/balances/member-1',
      site.authHeaders('alpha'),
    ),
  );
}

/**
 * An entry is ready once it knows any target. While it knows only one rank, it may
 * refuse the chats that this rank rejects.
 */
async function whenBothRanksKnown(entry: string): Promise<void> {
  const DISCOVERY_TIMEOUT_MS = 10_000;
  const served = new Set<string>();
  const deadline = performance.now() + DISCOVERY_TIMEOUT_MS;
  while (served.size < 2 && performance.now() < deadline) {
    const chat = fleet.chat(entry, 'alpha', 'who serves', 2);
    await chat.whenEnded();
    chat.ids.forEach(id => served.add(id.split('.', 1)[0]!));
  }
  expect(served.size).toBe(2);
}

/** Counts rejections during the cooldown, without requests that were in flight before. */
async function countDuringCooldown(): Promise<number> {
  const arrivals = await fleet.rejectionTimes(cooldownAddress);
  const startedAt = arrivals[0]!;
  return arrivals.filter(
    at => at > startedAt + IN_FLIGHT_GRACE_MS && at < startedAt + COOLDOWN_MS,
  ).length;
}

async function expectAtMost(max: string): Promise<void> {
  expect(await countDuringCooldown()).toBeLessThanOrEqual(Number(max));
}

const steps: StepDefinitions = ({given, when, then, and}) => {
  given(
    'a model of two ranks, one of which asks for a cooldown of 2 s',
    async () => {
      fleet = await fleets.Fleet.start({ranks: 2, ledgers: 0});
      await Promise.all(['entry-0', 'entry-1'].map(whenBothRanksKnown));
      cooldownAddress = fleet.engine[0]!;
      await fleet.setFaults(cooldownAddress, {retryAfter: '2'});
    },
  );

  given('a ledger that asks for a cooldown of 2 s', async () => {
    fleet = await fleets.Fleet.start({ranks: 0, ledgers: 2});
    cooldownAddress = fleet.ledger;
    await fleet.setFaults(cooldownAddress, {retryAfter: '2'});
  });

  when(/^(\d+) chats a second are sent for (\d+) ms$/, async (rate, ms) => {
    chats = await sendAtRate(Number(rate), Number(ms), index =>
      fleet.chat(`entry-${index % 2}`, 'alpha', `question ${index}`, 8),
    );
  });

  when(/^(\d+) lookups a second are sent for (\d+) ms$/, async (rate, ms) => {
    sent = await sendAtRate(Number(rate), Number(ms), lookUp);
  });

  when(/^(\d+) top-ups a second are sent for (\d+) ms$/, async (rate, ms) => {
    const count = (Number(rate) * Number(ms)) / 1_000;
    const keys: string[] = [];
    while (keys.length < count) {
      keys.push(await fleet.mintKey('entry-0', 'alpha'));
    }
    sent = await sendAtRate(Number(rate), Number(ms), index =>
      measure(fleet.topUp(`entry-${index % 2}`, 'alpha', keys[index]!)),
    );
  });

  then(
    /^at most (\d+) of them reach the rank during its cooldown$/,
    expectAtMost,
  );
  then(
    /^at most (\d+) of them reach the ledger during its cooldown$/,
    expectAtMost,
  );

  and('every chat gets a complete response', async () => {
    for (const [index, chat] of chats.entries()) {
      await chat.whenEnded();
      const messages = [{role: 'user', content: `question ${index}`}];
      expect(chat.text).toBe(expectedText(messages, 8));
      expect(chat.isComplete).toBe(true);
    }
  });

  and('the others are refused at once with a Retry-After header', () => {
    for (const {response, tookMs} of sent) {
      expect(response.status).toBe(503);
      expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
      expect(tookMs).toBeLessThan(MAX_REFUSAL_MS);
    }
    const problems = sent.map(
      ({response}) => (JSON.parse(response.text) as {type?: string}).type,
    );
    expect(new Set(problems)).toEqual(new Set(['/problems/resting']));
  });

  and('lookups after the cooldown are served', async () => {
    await fleet.setFaults(cooldownAddress, {retryAfter: null});
    await fleets.pause(COOLDOWN_MS);
    const laterLookups = await sendAtRate(10, 500, lookUp);
    expect(laterLookups.map(({response}) => response.status)).toEqual(
      laterLookups.map(() => 200),
    );
  });

  and('top-ups with new keys after the cooldown are served', async () => {
    await fleet.setFaults(cooldownAddress, {retryAfter: null});
    await fleets.pause(COOLDOWN_MS);
    const key = await fleet.mintKey('entry-0', 'alpha');
    expect((await fleet.topUp('entry-0', 'alpha', key)).status).toBe(201);
  });
};

autoBindSteps([feature], [steps]);
