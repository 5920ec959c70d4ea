import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import {expectedText} from '../standins/engine';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';
import * as site from './support/site';

const feature = loadFeature(path.join(__dirname, 'streams.feature'));

let fleet: fleets.Fleet;
let streams: {stream: testHttp.EventStream; content: string; tokens: number}[];
let response: testHttp.HttpResponse;

afterEach(async () => fleet.close());

function textFor(content: string, tokens: number): string {
  return expectedText([{role: 'user', content}], tokens);
}

function openStream(
  entry: string,
  content: string,
  tokens: number,
  extra: Record<string, string> = {},
): testHttp.EventStream {
  const stream = fleet.chat(entry, 'alpha', content, tokens, extra);
  streams.push({stream, content, tokens});
  return stream;
}

async function setEngineFaults(faults: unknown): Promise<void> {
  await Promise.all(
    fleet.engine.map(address => fleet.setFaults(address, faults)),
  );
}

async function expectCompleteStreams(): Promise<void> {
  for (const {stream, content, tokens} of streams) {
    await stream.whenEnded();
    expect(stream.error).toBeUndefined();
    expect(stream.text).toBe(textFor(content, tokens));
    expect(stream.isComplete).toBe(true);
  }
}

/** The target id that prefixes a stream's event ids. */
function targetIdOf(stream: testHttp.EventStream): string {
  return stream.ids[0]!.split('.')[0]!;
}

const steps: StepDefinitions = ({given, when, then}) => {
  given('a running model with two entries', async () => {
    streams = [];
    fleet = await fleets.Fleet.start({ledgers: 0});
  });

  when(
    /^the engine cuts a stream of (\d+) tokens after (\d+)/,
    async (tokens, events) => {
      await setEngineFaults({cutAfter: Number(events)});
      await openStream('entry-0', 'cut me', Number(tokens)).whenEnded();
    },
  );

  when(/^the engine's events are "(.*)"$/, async (fault: string) => {
    await setEngineFaults(fault === 'late' ? {lateMs: 300} : {[fault]: true});
  });

  when(/^(\d+) callers stream responses of (\d+) tokens/, (count, tokens) => {
    for (let caller = 0; caller < Number(count); caller += 1) {
      openStream(`entry-${caller % 2}`, `prompt ${caller}`, Number(tokens));
    }
  });

  when("every rank's responses name another request", () =>
    setEngineFaults({foreign: true}),
  );

  when(/^a caller streams a response of (\d+) tokens$/, async tokens => {
    await openStream('entry-0', 'whose is it?', Number(tokens)).whenEnded();
  });

  when(
    /^the entry is killed after (\d+) events of a stream of (\d+)/,
    async (events, tokens) => {
      const stream = openStream('entry-0', 'go on', Number(tokens));
      await stream.whenEvents(Number(events));
      await fleet.process('entry-0').kill();
      await stream.whenEnded();
      expect(stream.isComplete).toBe(false);
    },
  );

  when(/^the caller reconnects through the other entry/, async () => {
    const [first] = streams;
    const lastId = first!.stream.ids[first!.stream.ids.length - 1]!;
    const resumed = fleet.reconnect('entry-1', 'alpha', lastId);
    streams.push({...first!, stream: resumed});
    await resumed.whenEnded();
  });

  when(/^another account reconnects/, async () => {
    const stream = openStream('entry-0', 'mine alone', 60);
    await stream.whenEvents(5);
    const lastId = stream.ids[stream.ids.length - 1]!;
    const other = fleet.reconnect('entry-1', 'beta', lastId);
    await other.whenEnded();
    streams = [{stream: other, content: '', tokens: 0}];
  });

  when(
    /^the stream's sidecar is killed after (\d+) of (\d+)/,
    async (events, tokens) => {
      const stream = openStream('entry-0', 'keep going', Number(tokens));
      await stream.whenEvents(Number(events));
      const target = targetIdOf(stream);
      await fleet.process(target).kill();
      await fleet.restart(target);
    },
  );

  when(
    /^the engine is killed after (\d+) of (\d+) tokens$/,
    async (events, tokens) => {
      const stream = openStream('entry-0', 'lost', Number(tokens));
      await stream.whenEvents(Number(events));
      await fleet.process('engine').kill();
      await stream.whenEnded();
    },
  );

  when('two callers send the same request id at once', () => {
    const id = '01890a5d-ac96-774b-bcce-b302099a8057';
    openStream('entry-0', 'first caller', 30, {'ferrycleat-request': id});
    openStream('entry-1', 'second caller', 30, {'ferrycleat-request': id});
  });

  when(
    'the engine is killed while it writes a non-streaming response',
    async () => {
      const pending = testHttp.call(
        fleet.address('entry-0'),
        'POST',
        '/v1/chat/completions',
        site.authHeaders('alpha'),
        JSON.stringify({
          model: 'assistant',
          max_tokens: 400,
          messages: [{role: 'user', content: 'all at once'}],
        }),
      );
      await fleets.pause(300);
      await fleet.process('engine').kill();
      response = await pending;
    },
  );

  when(/^a caller disconnects after (\d+) of (\d+)/, async (events, tokens) => {
    const stream = openStream('entry-0', 'never mind', Number(tokens));
    await stream.whenEvents(Number(events));
    stream.close();
  });

  then(/^(?:the|every) caller gets the complete response/, () =>
    expectCompleteStreams(),
  );

  then('the caller gets a typed refusal and no token', () => {
    const [{stream}] = streams as [(typeof streams)[0]];
    expect(stream.status).toBe(502);
    expect(stream.headers['ferrycleat-refusal']).toBe('target-failed');
    expect(stream.payloads).toEqual([]);
  });

  then('the two parts form the complete response to its own prompt', () => {
    const {status, error, body} = streams[1]!.stream;
    expect({status, error, body}).toEqual({
      status: 200,
      error: undefined,
      body: '',
    });
    const text = streams.map(part => part.stream.text).join('');
    expect(text).toBe(textFor(streams[0]!.content, streams[0]!.tokens));
    expect(streams[1]!.stream.isComplete).toBe(true);
  });

  then('it is refused and gets no token', () => {
    const [{stream}] = streams as [(typeof streams)[0]];
    expect(stream.status).toBe(410);
    expect(stream.payloads).toEqual([]);
  });

  then("the caller's stream ends with a typed error and no end marker", () => {
    const [{stream, content}] = streams as [(typeof streams)[0]];
    expect(stream.isComplete).toBe(false);
    expect(JSON.parse(stream.error ?? '{}')).toMatchObject({
      type: '/problems/stream-lost',
      outcome: 'unknown',
    });
    expect(textFor(content, 400).startsWith(stream.text)).toBe(true);
  });

  then('the caller can tell that the response is incomplete', () => {
    const isRefused = response.status >= 500;
    expect(isRefused || response.isTruncated).toBe(true);
    expect(response.headers['ferrycleat-outcome']).not.toBe('not-run');
  });

  then(/^the engine's work for it is cancelled within (\d+)/, async seconds => {
    await fleets.eventually(
      'the engine has cancelled the stream',
      async () => {
        const reports = await Promise.all(
          fleet.engine.map(address =>
            testHttp.callJson<{cancelled: number}>(
              address,
              'GET',
              '/standin/steps',
            ),
          ),
        );
        return reports.some(rank => rank.cancelled === 1);
      },
      Number(seconds) * 1_000,
    );
  });
};

autoBindSteps([feature], [steps]);
