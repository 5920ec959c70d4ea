import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import {expectedText} from '../standins/engine';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';
import * as site from './support/site';

const feature = loadFeature(path.join(__dirname, 'cooldown.feature'));
/** What comes so soon after a target asked was under way. */
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

/** Does something at a rate for a while. */
async function sendAtRate<T>(
  perSecond: number,
  forMs: number,
  send: (at: number) => Promise<T> | T,
): Promise<T[]> {
  const startedAt = Date.now();
  const results: Array<Promise<T> | T> = [];
  const count = (perSecond * forMs) / 1_000;
  for (let at = 0; at < count; at += 1) {
    const dueAt = startedAt + (at * 1_000) / perSecond;
    await fleets.pause(Math.max(dueAt - Date.now(), 0));
    results.push(send(at));
  }
  return Promise.all(results);
}

async function measure(call: Promise<testHttp.HttpResponse>): Promise<TimedResponse> {
  const startedAt = Date.now();
  const answer = await call;
  return {response: answer, tookMs: Date.now() - startedAt};
}

function lookUp(at: number): Promise<TimedResponse> {
  return measure(
    testHttp.call(
      fleet.address(`entry-${at % 2}`),
      'GET',
      '/ledger/balances/member-1',
      site.authHeaders('alpha'),
    ),
  );
}

/**
 * An entry is ready once it knows any target. One that hears of the other rank some
 * tenths of a second later refuses meanwhile, rightly, what the first one turns away.
 */
async function whenBothRanksKnown(entry: string): Promise<void> {
  const KNOWN_WITHIN_MS = 10_000;
  const served = new Set<string>();
  const endsAt = performance.now() + KNOWN_WITHIN_MS;
  while (served.size < 2 && performance.now() < endsAt) {
    const chat = fleet.chat(entry, 'alpha', 'who serves', 2);
    await chat.whenEnded();
    chat.ids.forEach(id => served.add(id.split('.', 1)[0]!));
  }
  expect(served.size).toBe(2);
}

/** Those that came in the rest, but for what was under way as it began. */
async function countDuringCooldown(): Promise<number> {
  const arrivals = await fleet.rejectionTimes(cooldownAddress);
  const begunAt = arrivals[0]!;
  return arrivals.filter(
    at => at > begunAt + IN_FLIGHT_GRACE_MS && at < begunAt + COOLDOWN_MS,
  ).length;
}

async function expectAtMost(most: string): Promise<void> {
  expect(await countDuringCooldown()).toBeLessThanOrEqual(Number(most));
}

const steps: StepDefinitions = ({given, when, then, and}) => {
  given('a model of two ranks, one of which asks for 2 s of rest', async () => {
    fleet = await fleets.Fleet.start({ranks: 2, ledgers: 0});
    await Promise.all(['entry-0', 'entry-1'].map(whenBothRanksKnown));
    cooldownAddress = fleet.engine[0]!;
    await fleet.setFaults(cooldownAddress, {retryAfter: '2'});
  });

  given('a ledger that asks for 2 s of rest', async () => {
    fleet = await fleets.Fleet.start({ranks: 0, ledgers: 2});
    cooldownAddress = fleet.ledger;
    await fleet.setFaults(cooldownAddress, {retryAfter: '2'});
  });

  when(/^(\d+) chats a second are sent for (\d+) ms$/, async (rate, ms) => {
    chats = await sendAtRate(Number(rate), Number(ms), at =>
      fleet.chat(`entry-${at % 2}`, 'alpha', `question ${at}`, 8),
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
    sent = await sendAtRate(Number(rate), Number(ms), at =>
      measure(fleet.topUp(`entry-${at % 2}`, 'alpha', keys[at]!)),
    );
  });

  then(/^at most (\d+) of them reach the rank while it rests$/, expectAtMost);
  then(/^at most (\d+) of them reach the ledger while it rests$/, expectAtMost);

  and('every chat is served whole', async () => {
    for (const [at, chat] of chats.entries()) {
      await chat.whenEnded();
      const messages = [{role: 'user', content: `question ${at}`}];
      expect(chat.text).toBe(expectedText(messages, 8));
      expect(chat.isComplete).toBe(true);
    }
  });

  and('the others are told at once when to come back', () => {
    for (const {response: answer, tookMs} of sent) {
      expect(answer.status).toBe(503);
      expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
      expect(tookMs).toBeLessThan(MAX_REFUSAL_MS);
    }
    const problems = sent.map(
      ({response: answer}) => (JSON.parse(answer.text) as {type?: string}).type,
    );
    expect(new Set(problems)).toEqual(new Set(['/problems/resting']));
  });

  and('lookups after the rest are served', async () => {
    await fleet.setFaults(cooldownAddress, {retryAfter: null});
    await fleets.pause(COOLDOWN_MS);
    const later = await sendAtRate(10, 500, lookUp);
    expect(later.map(({response: answer}) => answer.status)).toEqual(
      later.map(() => 200),
    );
  });

  and('top-ups with new keys after the rest are served', async () => {
    await fleet.setFaults(cooldownAddress, {retryAfter: null});
    await fleets.pause(COOLDOWN_MS);
    const key = await fleet.mintKey('entry-0', 'alpha');
    expect((await fleet.topUp('entry-0', 'alpha', key)).status).toBe(201);
  });
};

autoBindSteps([feature], [steps]);
