import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import * as app from '../src/groups/app';
import {RpcClient} from '../src/rpc/client';
import {expectedText} from '../standins/engine';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';

const feature = loadFeature(path.join(__dirname, 'leaving.feature'));
const LOAD_TOKENS = 4;

let fleet: fleets.Fleet;
let load: LoadGenerator;
let departedAt: number;
let streams: testHttp.EventStream[];
let exitCode: Promise<number | null>;
let topUps: {key: string; response: testHttp.HttpResponse}[];

afterEach(async () => {
  await load.stop();
  await fleet.close();
});

interface Sample {
  readonly sentAt: number;
  readonly targetId: string;
  readonly isComplete: boolean;
  readonly status: number;
  /** Body of a refusal or data of an error event; empty if there was none. */
  readonly failure: string;
}

/** Sends short streams, one after the other per client. */
class LoadGenerator {
  readonly samples: Sample[] = [];
  private isRunning = true;
  private clients: Promise<void>[] = [];

  start(entries: readonly string[], clientCount: number): void {
    this.clients = Array.from({length: clientCount}, (_, client) =>
      this.runClient(entries[client % entries.length]!, client),
    );
  }

  async stop(): Promise<void> {
    this.isRunning = false;
    await Promise.all(this.clients);
  }

  private async runClient(entry: string, client: number): Promise<void> {
    for (let turn = 0; this.isRunning; turn += 1) {
      const sentAt = Date.now();
      const stream = fleet.chat(
        entry,
        'beta',
        `line ${client} turn ${turn}`,
        LOAD_TOKENS,
      );
      await stream.whenEnded();
      const targetId = stream.ids[0]?.split('.')[0] ?? '';
      const {isComplete, status, error, body} = stream;
      this.samples.push({
        sentAt,
        targetId,
        isComplete,
        status,
        failure: error ?? body,
      });
    }
  }
}

const steps: StepDefinitions = ({given, when, then}) => {
  given('a running fleet under load', async () => {
    fleet = await fleets.Fleet.start({ranks: 3});
    load = new LoadGenerator();
    load.start(['entry-1'], 4);
    await fleets.eventually(
      'every rank serves streams',
      () => new Set(load.samples.map(sample => sample.targetId)).size === 3,
    );
    streams = [];
    topUps = [];
  });

  when(
    /^"(.*)" is told to stop while a long stream runs/,
    async (id: string) => {
      for (;;) {
        const stream = fleet.chat('entry-1', 'alpha', 'a long one', 300);
        await stream.whenEvents(2);
        if (stream.ids[0]?.startsWith(id)) {
          streams = [stream];
          break;
        }
        stream.close();
      }
      departedAt = Date.now();
      exitCode = fleet.process(id).stop();
    },
  );

  when(
    /^the platform's list says that "(.*)" is leaving$/,
    async (id: string) => {
      departedAt = Date.now();
      await fleet.setInstanceState(id, 'leaving');
      await fleets.pause(4_000);
    },
  );

  when(
    /^the platform's list lags by (\d+) seconds and says that "(.*)" is/,
    async (seconds: string, id: string) => {
      const listLagMs = Number(seconds) * 1_000;
      await fleet.setFaults(fleet.platform, {listLagMs});
      departedAt = Date.now();
      await fleet.setInstanceState(id, 'leaving');
      await fleets.pause(6_000);
    },
  );

  when(/^"(.*)" is killed without notice$/, async (id: string) => {
    departedAt = Date.now();
    await fleet.process(id).kill();
    await fleets.pause(5_000);
  });

  when(
    /^"(.*)" is told to stop while streams of (\d+) tokens/,
    async (id: string, tokens: string) => {
      streams = Array.from({length: 5}, (_, index) =>
        fleet.chat(id, 'alpha', `stream ${index}`, Number(tokens)),
      );
      await Promise.all(streams.map(stream => stream.whenEvents(2)));
      exitCode = fleet.process(id).stop();
    },
  );

  when(
    /^"(.*)" is told twice to stop while streams of (\d+)/,
    async (id: string, tokens: string) => {
      streams = [fleet.chat(id, 'alpha', 'too long', Number(tokens))];
      await streams[0]!.whenEvents(2);
      exitCode = fleet.process(id).stop();
      await fleets.pause(300);
      expect(fleet.process(id).isRunning).toBe(true);
      fleet.process(id).signal('SIGTERM');
    },
  );

  when(/^"(.*)" is told to stop while the map is being/, async (id: string) => {
    const rpc = new RpcClient();
    const layers = Array.from({length: 2}, () =>
      Array.from({length: 16}, (_, expert) => [(expert + 1) % 3]),
    );
    const address = fleet.address('rank-0');
    const change = rpc.call(address, app.propose, {layers}, 10_000);
    await fleets.pause(30);
    exitCode = fleet.process(id).stop();
    await change;
    rpc.close();
    await exitCode;
    await fleet.restart(id);
  });

  when(/^"(.*)" is told to stop while top-ups are sent/, async (id: string) => {
    let isRunning = true;
    const runTopUps = async (entry: string) => {
      while (isRunning) {
        const key = await fleet.mintKey(entry, 'alpha');
        let response = await fleet.topUp(entry, 'alpha', key);
        // A caller has to retry with the same key after an unknown outcome.
        while (response.headers['ferrycleat-outcome'] === 'unknown') {
          await fleets.pause(200);
          response = await fleet.topUp(entry, 'alpha', key);
        }
        topUps.push({key, response});
      }
    };
    const clients = [
      runTopUps('entry-0'),
      runTopUps('entry-1'),
      runTopUps('entry-1'),
    ];
    await fleets.pause(500);
    exitCode = fleet.process(id).stop();
    await exitCode;
    await fleets.pause(1_000);
    isRunning = false;
    await Promise.all(clients);
  });

  then(
    /^"(.*)" got no new work later than (\d+) seconds after$/,
    async (id: string, seconds: string) => {
      await fleets.pause(500);
      const late = load.samples.filter(
        sample =>
          sample.targetId === id &&
          sample.sentAt > departedAt + Number(seconds) * 1_000,
      );
      expect(late).toEqual([]);
      expect(load.samples.some(sample => sample.targetId === id)).toBe(true);
    },
  );

  then('the long stream is complete', async () => {
    const [stream] = streams;
    await stream!.whenEnded();
    const messages = [{role: 'user', content: 'a long one'}];
    expect(stream!.isComplete).toBe(true);
    expect(stream!.text).toBe(expectedText(messages, 300));
  });

  then('no request of the load failed', () => {
    expect(load.samples.filter(sample => !sample.isComplete)).toEqual([]);
  });

  then(
    /^no request of the load failed for longer than (\d+)/,
    (seconds: string) => {
      const failed = load.samples.filter(sample => !sample.isComplete);
      const late = failed.filter(
        sample => sample.sentAt > departedAt + Number(seconds) * 1_000,
      );
      expect(late).toEqual([]);
      expect(failed.length).toBeLessThan(load.samples.length / 4);
    },
  );

  then(/^"(.*)" exited with code (\d)$/, async (_id: string, code: string) => {
    expect(await exitCode).toBe(Number(code));
  });

  then('every stream through it is complete', async () => {
    await Promise.all(streams.map(stream => stream.whenEnded()));
    streams.forEach((stream, index) => {
      const messages = [{role: 'user', content: `stream ${index}`}];
      expect(stream.text).toBe(expectedText(messages, 300));
      expect(stream.isComplete).toBe(true);
    });
  });

  then(
    'the group continues and no step ran with more than one map version',
    async () => {
      const read = () =>
        testHttp.callJson<{steps: number; mixedSteps: number}>(
          fleet.engine[0]!,
          'GET',
          '/standin/steps',
        );
      const before = await read();
      await fleets.eventually('the group runs more steps', async () => {
        return (await read()).steps > before.steps + 10;
      });
      expect((await read()).mixedSteps).toBe(0);
    },
  );

  then('every top-up got its response and ran once', async () => {
    const runs = await fleet.runCounts();
    expect(topUps.length).toBeGreaterThan(20);
    const failed = topUps.filter(
      ({key, response}) => response.status !== 201 || runs[key] !== 1,
    );
    expect(
      failed.map(
        ({key, response}) => `${response.status} ${response.text} ${runs[key]}`,
      ),
    ).toEqual([]);
  });
};

autoBindSteps([feature], [steps]);
