import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import * as app from '../src/groups/app';
import {RpcClient} from '../src/rpc/client';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';

const feature = loadFeature(path.join(__dirname, 'one-map.feature'));

const RANKS = 3;
const EXPERTS = 16;
const LAYERS = 2;

/** What the engine stand-in has recorded. */
interface StepReport {
  readonly steps: number;
  readonly mixedSteps: number;
  readonly blockedMs: number;
  readonly records: readonly {
    readonly step: number;
    readonly versions: readonly (number | null)[];
  }[];
}

let fleet: fleets.Fleet;
let rpc: RpcClient;
let baseline: StepReport;

afterEach(async () => {
  rpc.close();
  await fleet.close();
});

function readSteps(): Promise<StepReport> {
  return testHttp.callJson(fleet.engine[0]!, 'GET', '/standin/steps');
}

let changeCount = 0;

/** Asks a rank's sidecar to lead a change to some other map. */
function proposeChange(rank: number) {
  changeCount += 1;
  const layers = Array.from({length: LAYERS}, () =>
    Array.from({length: EXPERTS}, (_, expert) => [
      (expert + changeCount) % RANKS,
    ]),
  );
  const address = fleet.address(`rank-${rank}`);
  return rpc.call(address, app.propose, {layers}, 20_000);
}

/** Acts once the leader's nth order of a name has passed the relays. */
function onMethodCall(name: string, nth: number, act: () => void): void {
  let seen = 0;
  for (let rank = 1; rank < RANKS; rank += 1) {
    fleet.relays.get(`peer-${rank}`)!.onChunk = (direction, text) => {
      if (direction === 'up' && text.includes(`"${name}"`)) {
        seen += 1;
        if (seen === nth) {
          act();
        }
      }
    };
  }
}

function clearRelayHooks(): void {
  for (const relay of fleet.relays.values()) {
    relay.onChunk = undefined;
  }
}

const steps: StepDefinitions = ({given, when, then}) => {
  given('a running group of three ranks', async () => {
    rpc = new RpcClient();
    fleet = await fleets.Fleet.start({
      ranks: RANKS,
      ledgers: 0,
      entries: 1,
      relayRanks: true,
    });
    baseline = await readSteps();
  });

  given('the platform is down', async () => {
    // The leader takes its lease first: it may lead, and cannot ask again.
    await fleets.pause(0);
    await fleet.setFaults(fleet.platform, {outageAfterWrites: 1});
  });

  when(/^the leader changes the map (\d+) times$/, async (times: string) => {
    for (let at = 0; at < Number(times); at += 1) {
      const end = await proposeChange(0);
      expect(end).toEqual({ok: true, value: {end: 'committed'}});
      await fleets.eventually('the new map is run', async () => {
        const now = await readSteps();
        return now.records.length === at + 2;
      });
    }
  });

  when(
    /^the leader is killed after its (\d+) "(.*)" of a change$/,
    async (nth: string, order: string) => {
      const killed = new Promise<void>(resolve =>
        onMethodCall(order, Number(nth), () => {
          void fleet.process('rank-0').kill().then(resolve);
        }),
      );
      await proposeChange(0);
      await killed;
      clearRelayHooks();
      await fleet.restart('rank-0');
    },
  );

  when(
    /^the leader is frozen after its (\d+) "(.*)" of a change$/,
    async (nth: string, order: string) => {
      const frozen = new Promise<void>(resolve =>
        onMethodCall(order, Number(nth), () => {
          fleet.process('rank-0').freeze();
          resolve();
        }),
      );
      void proposeChange(0);
      await frozen;
      clearRelayHooks();
    },
  );

  when('another rank leads a change of its own', async () => {
    await Promise.race([proposeChange(1), fleets.pause(2_000)]);
  });

  when('the frozen leader wakes', async () => {
    fleet.process('rank-0').thaw();
    await fleets.pause(500);
  });

  when(/^rank (\d) is cut off from the leader after/, async (rank: string) => {
    const relay = fleet.relays.get(`peer-${rank}`)!;
    relay.onChunk = (direction, text) => {
      if (direction === 'down' && text.includes('"armed"')) {
        relay.cut();
        setTimeout(() => relay.restore(), 1_500);
      }
    };
    await proposeChange(0);
  });

  when(
    /^the answers of rank (\d) to "(.*)" are lost/,
    async (rank: string, order: string) => {
      const relay = fleet.relays.get(`peer-${rank}`)!;
      relay.onChunk = (direction, text) => {
        if (direction === 'up' && text.includes(`"${order}"`)) {
          relay.dropResponses = true;
        }
      };
      setTimeout(() => {
        relay.onChunk = undefined;
        relay.dropResponses = false;
        relay.destroyConnections();
      }, 1_500);
      await proposeChange(0);
    },
  );

  when(/^ranks 0 and 1 lead changes .* (\d+) times$/, async (n: string) => {
    for (let at = 0; at < Number(n); at += 1) {
      await Promise.all([proposeChange(0), proposeChange(1)]);
    }
  });

  when("the group's engines restart without a map", async () => {
    await fleets.pause(300);
    baseline = await readSteps();
    await testHttp.callJson(fleet.engine[0]!, 'POST', '/standin/restart', {});
  });

  when(
    /^rank (\d)'s sidecar is killed after it has armed/,
    async (r: string) => {
      const id = `rank-${r}`;
      const relay = fleet.relays.get(`peer-${r}`)!;
      const killed = new Promise<void>(resolve => {
        relay.onChunk = (direction, text) => {
          if (direction === 'down' && text.includes('"armed"')) {
            relay.onChunk = undefined;
            void fleet.process(id).kill().then(resolve);
          }
        };
      });
      void proposeChange(0);
      await killed;
      await fleet.restart(id);
    },
  );

  then(/^all ranks run the last map$/, async () => {
    await fleets.eventually('five changes were run', async () => {
      const now = await readSteps();
      return now.records.length === 6;
    });
  });

  then('no step was mixed', async () => {
    const now = await readSteps();
    expect(now.mixedSteps).toBe(0);
  });

  then(
    /^the group waited for at most (\d+) of its steps$/,
    async (n: string) => {
      const now = await readSteps();
      const stepMs = 5;
      expect(now.blockedMs).toBeLessThanOrEqual(Number(n) * stepMs);
    },
  );

  then(/^the group runs on within (\d+) seconds/, async (seconds: string) => {
    const atOnce = await readSteps();
    await fleets.eventually(
      'steps go on and no rank is held',
      async () => {
        const now = await readSteps();
        const answers = await Promise.all(
          fleet.engine.map(address =>
            testHttp.callJson<{hold: unknown; version: number | null}>(
              address,
              'GET',
              '/v1/rank',
            ),
          ),
        );
        const versions = new Set(answers.map(answer => answer.version));
        return (
          now.steps > Math.max(atOnce.steps, baseline.steps) + 10 &&
          answers.every(answer => answer.hold === null) &&
          versions.size === 1 &&
          !versions.has(null)
        );
      },
      Number(seconds) * 1_000,
    );
  });
};

autoBindSteps([feature], [steps]);
