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
let topUps: {key: string; answer: testHttp.HttpResponse}[];

afterEach(async () => {
  await load.stop();
  await fleet.close();
});

interface Sample {
  readonly sentAt: number;
  readonly targetId: string;
  readonly isComplete: boolean;
  readonly status: number;
  /** Why it was refused or broke off; empty: it didn't. */
  readonly failure: string;
}

/** Short streams, one after the other, on several lines. */
class LoadGenerator {
  readonly samples: Sample[] = [];
  private isRunning = true;
  private clients: Promise<void>[] = [];

  start(entries: readonly string[], lines: number): void {
    this.clients = Array.from({length: lines}, (_, line) =>
      this.runClient(entries[line % entries.length]!, line),
    );
  }

  async stop(): Promise<void> {
    this.isRunning = false;
    await Promise.all(this.clients);
  }

  private async runClient(entry: string, line: number): Promise<void> {
    for (let turn = 0; this.isRunning; turn += 1) {
      const at = Date.now();
      const stream = fleet.chat(
        entry,
        'beta',
        `line ${line} turn ${turn}`,
        LOAD_TOKENS,
      );
      await stream.whenEnded();
      const target = stream.ids[0]?.split('.')[0] ?? '';
      const {isComplete: isWhole, status, error, body} = stream;
      this.samples.push({
        sentAt: at,
        targetId: target,
        isComplete: isWhole,
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
      'every rank works',
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
      streams = Array.from({length: 5}, (_, at) =>
        fleet.chat(id, 'alpha', `stream ${at}`, Number(tokens)),
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
    let running = true;
    const line = async (entry: string) => {
      while (running) {
        const key = await fleet.mintKey(entry, 'alpha');
        let answer = await fleet.topUp(entry, 'alpha', key);
        // As callers are told to: come back with the same key.
        while (answer.headers['ferrycleat-outcome'] === 'unknown') {
          await fleets.pause(200);
          answer = await fleet.topUp(entry, 'alpha', key);
        }
        topUps.push({key, answer});
      }
    };
    const lines = [line('entry-0'), line('entry-1'), line('entry-1')];
    await fleets.pause(500);
    exitCode = fleet.process(id).stop();
    await exitCode;
    await fleets.pause(1_000);
    running = false;
    await Promise.all(lines);
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

  then('the long stream is whole', async () => {
    const [stream] = streams;
    await stream!.whenEnded();
    const messages = [{role: 'user', content: 'a long one'}];
    expect(stream!.isComplete).toBe(true);
    expect(stream!.text).toBe(expectedText(messages, 300));
  });

  then('no request of the load failed', () => {
    expect(load.samples.filter(sample => !sample.isComplete)).toEqual([]);
  });

  then(/^no request of the load failed for longer than (\d+)/, (n: string) => {
    const failed = load.samples.filter(sample => !sample.isComplete);
    const late = failed.filter(s => s.sentAt > departedAt + Number(n) * 1_000);
    expect(late).toEqual([]);
    expect(failed.length).toBeLessThan(load.samples.length / 4);
  });

  then(
    /^"(.*)" ended by itself with exit code (\d)$/,
    async (_id: string, code: string) => {
      expect(await exitCode).toBe(Number(code));
    },
  );

  then('every stream through it is whole', async () => {
    await Promise.all(streams.map(stream => stream.whenEnded()));
    streams.forEach((stream, at) => {
      const messages = [{role: 'user', content: `stream ${at}`}];
      expect(stream.text).toBe(expectedText(messages, 300));
      expect(stream.isComplete).toBe(true);
    });
  });

  then("the group's steps go on and none was mixed", async () => {
    const read = () =>
      testHttp.callJson<{steps: number; mixedSteps: number}>(
        fleet.engine[0]!,
        'GET',
        '/standin/steps',
      );
    const before = await read();
    await fleets.eventually('steps go on', async () => {
      return (await read()).steps > before.steps + 10;
    });
    expect((await read()).mixedSteps).toBe(0);
  });

  then('every top-up got its answer and ran once', async () => {
    const runs = await fleet.runCounts();
    expect(topUps.length).toBeGreaterThan(20);
    const bad = topUps.filter(
      ({key, answer}) => answer.status !== 201 || runs[key] !== 1,
    );
    expect(
      bad.map(
        ({key, answer}) => `${answer.status} ${answer.text} ${runs[key]}`,
      ),
    ).toEqual([]);
  });
};

autoBindSteps([feature], [steps]);
