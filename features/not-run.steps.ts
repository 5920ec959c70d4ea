import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';
import * as site from './support/site';

const feature = loadFeature(path.join(__dirname, 'not-run.feature'));
const MAX_REFUSAL_MS = 700;

interface SentTopUp {
  readonly key: string;
  readonly response: testHttp.HttpResponse;
  readonly tookMs: number;
}

let fleet: fleets.Fleet;
let sent: SentTopUp[];

afterEach(async () => fleet.close());

async function send(
  key: string,
  entry: string,
  extra: Record<string, string> = {},
): Promise<SentTopUp> {
  const startedAt = Date.now();
  const response = await fleet.topUp(entry, 'alpha', key, 10, extra);
  return {key, response, tookMs: Date.now() - startedAt};
}

async function mintKeys(count: number): Promise<string[]> {
  const keys: string[] = [];
  while (keys.length < count) {
    keys.push(await fleet.mintKey('entry-0', 'beta'));
  }
  return keys;
}

function notRunTopUps(): SentTopUp[] {
  return sent.filter(
    topUp => topUp.response.headers['ferrycleat-outcome'] === 'not-run',
  );
}

async function resend(keys: readonly string[]): Promise<void> {
  const copies = await Promise.all(keys.map(key => send(key, 'entry-1')));
  for (const copy of copies) {
    expect(copy.response.status).not.toBe(201);
  }
}

const steps: StepDefinitions = ({given, when, then}) => {
  given(/^a ledger that takes (\d+) ms a run/, async (ms: string) => {
    fleet = await fleets.Fleet.start({
      ranks: 0,
      ledgers: 1,
      sidecarArgs: ['--capacity', '1', '--max-queued', '2'],
    });
    await fleet.setFaults(fleet.ledger, {runMs: Number(ms)});
  });

  given(/^an account that may send (\d+) requests a second$/, async rate => {
    fleet = await fleets.Fleet.start({ranks: 0});
    await fleet.apply(
      site.makeAccount('alpha', {
        requestsPerSecond: Number(rate),
        burst: Number(rate),
      }),
    );
    await fleets.pause(500);
  });

  given('a ledger whose targets refuse connections', async () => {
    fleet = await fleets.Fleet.start({ranks: 0, relayTargets: true});
    for (const relay of fleet.relays.values()) {
      await relay.close();
    }
  });

  given('a ledger that runs top-ups and loses its responses', async () => {
    fleet = await fleets.Fleet.start({ranks: 0});
    await fleet.setFaults(fleet.ledger, {loseAnswers: 3});
  });

  when(/^(\d+) top-ups with keys of their own/, async (count: string) => {
    const keys = await mintKeys(Number(count));
    sent = await Promise.all(
      keys.map((key, index) => send(key, `entry-${index % 2}`)),
    );
  });

  when(/^top-ups with a timeout of (\d+) ms/, async (ms: string) => {
    const keys = await mintKeys(5);
    const first = send(keys[0]!, 'entry-0');
    await fleets.pause(60);
    const extra = {'ferrycleat-timeout-ms': ms};
    sent = await Promise.all(
      keys.slice(1).map(key => send(key, 'entry-0', extra)),
    );
    await first;
  });

  when(/^a top-up has run, and "(.*)" restarts while/, async (id: string) => {
    const keys = await mintKeys(12);
    sent = await Promise.all(keys.map(key => send(key, 'entry-1')));
    await fleet.setFaults(fleet.platform, {outage: true});
    await fleet.process(id).kill();
    const before = fleet.process(id).count('FC4003');
    fleet.process(id).start();
    await fleets.eventually(
      `${id} accepts requests`,
      () => fleet.process(id).count('FC4003') > before,
    );
  });

  then(/^a copy of it through "(.*)" is not told "not-run"$/, async id => {
    const entry = id.startsWith('entry') ? id : 'entry-1';
    const copies = await Promise.all(
      sent.map(topUp =>
        send(topUp.key, entry, {'ferrycleat-timeout-ms': '3000'}),
      ),
    );
    const outcomes = copies.map(
      copy => copy.response.headers['ferrycleat-outcome'],
    );
    expect(outcomes).not.toContain('not-run');
  });

  when('a top-up without a key is sent', async () => {
    const response = await testHttp.call(
      fleet.address('entry-0'),
      'POST',
      '/ledger/top-ups',
      site.authHeaders('alpha'),
      JSON.stringify({phone: '1', amount: 1}),
    );
    sent = [{key: '', response, tookMs: 0}];
  });

  then(/^some are told "not-run" at once/, () => {
    const refused = notRunTopUps();
    expect(refused.length).toBeGreaterThan(0);
    for (const topUp of refused) {
      expect(topUp.tookMs).toBeLessThan(MAX_REFUSAL_MS);
      expect(topUp.response.headers['retry-after']).toBeDefined();
    }
  });

  then('all are told "not-run"', () => {
    expect(notRunTopUps()).toHaveLength(sent.length);
  });

  then('copies of these sent later do not run either', async () => {
    await fleets.pause(1_500);
    await resend(notRunTopUps().map(topUp => topUp.key));
  });

  then(/^after the targets are back/, async () => {
    for (const relay of fleet.relays.values()) {
      await relay.reopen();
    }
    await resend(sent.map(topUp => topUp.key));
  });

  then('no key told "not-run" was ever run', async () => {
    const runs = await fleet.runCounts();
    const ran = notRunTopUps().filter(topUp => runs[topUp.key] !== undefined);
    expect(ran).toEqual([]);
  });

  then('none is told "not-run"', () => {
    expect(notRunTopUps()).toEqual([]);
  });

  then('each of them ran once, also after copies', async () => {
    await resend(sent.map(topUp => topUp.key));
    const runs = await fleet.runCounts();
    expect(sent.map(topUp => runs[topUp.key])).toEqual(sent.map(() => 1));
  });

  then(/^it is refused as "(.*)" and nothing ran$/, async (kind: string) => {
    const [topUp] = sent;
    expect(topUp!.response.headers['ferrycleat-refusal']).toBe(kind);
    expect(await fleet.runCounts()).toEqual({});
  });
};

autoBindSteps([feature], [steps]);
