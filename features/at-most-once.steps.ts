import * as path from 'node:path';
import * as uuid from 'uuid';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import * as claimsApp from '../src/claims/app';
import * as keys from '../src/claims/keys';
import {RpcClient} from '../src/rpc/client';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';
import * as site from './support/site';

const feature = loadFeature(path.join(__dirname, 'at-most-once.feature'));
const SLOTS = 6;
const MINUTE_MS = 60_000;

let fleet: fleets.Fleet;
let key: string;
let responses: testHttp.HttpResponse[];
let owner: string;
let outage: Promise<void>;

afterEach(async () => fleet.close());

/** Returns the id of the sidecar that owns a key's slot. */
async function findOwner(text: string): Promise<string> {
  const rpc = new RpcClient();
  const slot = keys.slotOf(keys.parseKey(text)!, SLOTS);
  for (const id of fleet.idsWithPrefix('ledger')) {
    const table = await rpc.call(fleet.address(id), claimsApp.table, {
      service: 'ledger',
    });
    const cells = table.ok ? table.value.cells : [];
    const ownCell = cells.find(
      line => line.slot === slot && line.cell.owner.targetId === id,
    );
    if (ownCell !== undefined) {
      rpc.close();
      return id;
    }
  }
  rpc.close();
  throw new Error(`no sidecar owns slot ${slot}`);
}

async function sendCopies(count: number): Promise<void> {
  for (let copy = 0; copy < count; copy += 1) {
    const entry = copy % 2 === 0 ? 'entry-0' : 'entry-1';
    responses.push(await fleet.topUp(entry, 'alpha', key));
  }
}

/** Mints a key and sends a top-up with it; stores the key if the top-up ran. */
async function tryNewKey(): Promise<boolean> {
  const minted = await testHttp.call(
    fleet.address('entry-0'),
    'POST',
    '/v1/request-keys',
    site.authHeaders('alpha'),
    JSON.stringify({service: 'ledger'}),
  );
  const document = JSON.parse(minted.text || '{}') as {keys?: string[]};
  const newKey = document.keys?.[0];
  if (newKey === undefined) {
    return false;
  }
  const response = await fleet.topUp('entry-0', 'alpha', newKey);
  key = response.status === 201 ? newKey : key;
  return response.status === 201;
}

const steps: StepDefinitions = ({given, when, then}) => {
  given('a running ledger with two entries', async () => {
    responses = [];
    fleet = await fleets.Fleet.start({ranks: 0});
  });

  given(
    /^a running ledger with ownership terms of (\d+) seconds$/,
    async (seconds: string) => {
      responses = [];
      const termMs = Number(seconds) * 1_000;
      fleet = await fleets.Fleet.start({ranks: 0, service: {termMs}});
    },
  );

  given(/^the ledger takes (\d+) ms/, async (ms: string) => {
    await fleet.setFaults(fleet.ledger, {runMs: Number(ms)});
  });

  when(/^(\d+) copies of a top-up/, async (count: string) => {
    key = await fleet.mintKey('entry-0', 'alpha');
    responses = await Promise.all(
      Array.from({length: Number(count)}, (_, copy) =>
        fleet.topUp(`entry-${copy % 2}`, 'alpha', key),
      ),
    );
  });

  when(/^a top-up's owner is killed while it runs/, async () => {
    key = await fleet.mintKey('entry-0', 'alpha');
    owner = await findOwner(key);
    const first = fleet.topUp('entry-0', 'alpha', key);
    await fleets.eventually('the ledger runs it', async () => {
      return ((await fleet.runCounts())[key] ?? 0) > 0;
    });
    await fleet.process(owner).kill();
    await fleet.restart(owner);
    responses = [await first];
  });

  when(/^a top-up's owner is killed and not restarted$/, async () => {
    key = await fleet.mintKey('entry-0', 'alpha');
    owner = await findOwner(key);
    await fleet.topUp('entry-0', 'alpha', key);
    await fleet.process(owner).kill();
    await fleet.setInstanceState(owner, 'leaving');
    responses = [];
  });

  when(/^a top-up's owner is frozen before/, async () => {
    key = await fleet.mintKey('entry-0', 'alpha');
    owner = await findOwner(key);
    fleet.process(owner).freeze();
  });

  when(/^the caller sends it once and its slots/, async () => {
    const pending = fleet.topUp('entry-0', 'alpha', key, 10, {
      'ferrycleat-timeout-ms': '1500',
    });
    await fleet.setInstanceState(owner, 'leaving');
    await fleets.pause(4_000);
    responses = [await pending];
  });

  when(/^the frozen owner resumes/, async () => {
    fleet.process(owner).thaw();
    await sendCopies(4);
  });

  when(/^the caller sends it (\d+) times more$/, (count: string) =>
    sendCopies(Number(count)),
  );

  when(
    /^all owners restart while the store loses (\d+)/,
    async (count: string) => {
      await fleet.setFaults(fleet.platform, {loseAnswers: Number(count)});
      const ids = fleet.idsWithPrefix('ledger');
      await Promise.all(
        ids.map(async id => {
          await fleet.process(id).kill();
          await fleet.restart(id);
        }),
      );
    },
  );

  when(/^the store is down for (\d+) seconds$/, async (seconds: string) => {
    key = await fleet.mintKey('entry-0', 'alpha');
    await fleet.setFaults(fleet.platform, {outage: true});
    outage = fleets
      .pause(Number(seconds) * 1_000)
      .then(() => fleet.setFaults(fleet.platform, {outage: false}));
    await fleets.pause(2_500);
  });

  when(
    /^a caller whose clock is (-?\d+) minutes off/,
    async (minutes: string) => {
      key = uuid.v7({msecs: Date.now() + Number(minutes) * MINUTE_MS});
      responses = [await fleet.topUp('entry-0', 'alpha', key)];
    },
  );

  when(/^a top-up has run and its owner stops as planned$/, async () => {
    key = await fleet.mintKey('entry-0', 'alpha');
    owner = await findOwner(key);
    responses = [await fleet.topUp('entry-0', 'alpha', key)];
    expect(await fleet.process(owner).stop()).toBe(0);
  });

  then('the ledger ran it once', async () => {
    expect((await fleet.runCounts())[key]).toBe(1);
  });

  then('the ledger ran it at most once', async () => {
    const runs = (await fleet.runCounts())[key] ?? 0;
    expect(runs).toBeLessThanOrEqual(1);
    const notRun = responses.filter(
      response => response.headers['ferrycleat-outcome'] === 'not-run',
    );
    expect(runs === 1 && notRun.length > 0).toBe(false);
  });

  then('the ledger never ran it', async () => {
    expect((await fleet.runCounts())[key]).toBeUndefined();
  });

  then('every copy got the same response', () => {
    expect(new Set(responses.map(response => response.text)).size).toBe(1);
    expect(responses.map(response => response.status)).toEqual(
      responses.map(() => 201),
    );
  });

  then('no copy was told that it did not run', () => {
    const outcomes = responses.map(
      response => response.headers['ferrycleat-outcome'],
    );
    expect(outcomes).not.toContain('not-run');
    expect(outcomes).not.toContain(undefined);
  });

  then(/^every later copy got the outcome "(.*)"$/, (outcome: string) => {
    const outcomes = responses.map(
      response => response.headers['ferrycleat-outcome'],
    );
    expect(outcomes).toEqual(responses.map(() => outcome));
    expect(
      responses.every(
        response => response.headers['retry-after'] !== undefined,
      ),
    ).toBe(true);
  });

  then(/^a new key is served within (\d+) seconds$/, (seconds: string) =>
    fleets.eventually(
      'a new key is served',
      tryNewKey,
      Number(seconds) * 1_000,
    ),
  );

  then('copies of it run once', async () => {
    await sendCopies(6);
    expect((await fleet.runCounts())[key]).toBe(1);
  });

  then('lookups are answered meanwhile', async () => {
    const response = await testHttp.call(
      fleet.address('entry-0'),
      'GET',
      '/ledger/balances/7',
      site.authHeaders('alpha'),
    );
    expect(response.status).toBe(200);
  });

  then(/^a top-up is refused within (\d+) seconds/, async (seconds: string) => {
    const lateKey = uuid.v7();
    const startedAt = Date.now();
    const response = await fleet.topUp('entry-0', 'alpha', lateKey);
    expect(Date.now() - startedAt).toBeLessThan(Number(seconds) * 1_000);
    expect(response.headers['ferrycleat-outcome']).toBe('unknown');
    expect(response.headers['retry-after']).toBeDefined();
    expect((await fleet.runCounts())[lateKey]).toBeUndefined();
  });

  then(
    /^after the outage a new key is served within (\d+)/,
    async (seconds: string) => {
      await outage;
      await fleets.eventually(
        'a new key is served',
        tryNewKey,
        Number(seconds) * 1_000,
      );
    },
  );

  then(/^the response has the outcome "(.*)"$/, (outcome: string) => {
    expect(responses[0]!.headers['ferrycleat-outcome']).toBe(outcome);
  });

  then('a copy of the top-up still gets the first response', async () => {
    const copy = await fleet.topUp('entry-1', 'alpha', key);
    expect(copy.status).toBe(201);
    expect(copy.text).toBe(responses[0]!.text);
    expect(copy.headers['ferrycleat-replayed']).toBe('true');
  });
};

autoBindSteps([feature], [steps]);
