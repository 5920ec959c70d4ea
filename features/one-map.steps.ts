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

/** The step counters of the engine stand-in. */
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

/** Asks a rank's sidecar to lead a change to a map that differs from the last one. */
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

/** Calls `act` once the leader's nth request of an RPC method has passed the relays. */
function onMethodCall(method: string, nth: number, act: () => void): void {
  let seen = 0;
  for (let rank = 1; rank < RANKS; rank += 1) {
    fleet.relays.get(`peer-${rank}`)!.onChunk = (direction, text) => {
      if (direction === 'up' && text.includes(`"${method}"`)) {
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
    // One write is allowed: the leader obtains its lease and then loses the store.
    await fleets.pause(0);
    await fleet.setFaults(fleet.platform, {outageAfterWrites: 1});
  });

  when(/^the leader changes the map (\d+) times$/, async (times: string) => {
    for (let index = 0; index < Number(times); index += 1) {
      const result = await proposeChange(0);
      expect(result).toEqual({ok: true, value: {end: 'committed'}});
      await fleets.eventually('the new map is in use', async () => {
        const now = await readSteps();
        return now.records.length === index + 2;
      });
    }
  });

  when(
    /^the leader is killed after request (\d+) of "(.*)" in a change$/,
    async (nth: string, method: string) => {
      const killed = new Promise<void>(resolve =>
        onMethodCall(method, Number(nth), () => {
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
    /^the leader is frozen after request (\d+) of "(.*)" in a change$/,
    async (nth: string, method: string) => {
      const frozen = new Promise<void>(resolve =>
        onMethodCall(method, Number(nth), () => {
          fleet.process('rank-0').freeze();
          resolve();
        }),
      );
      void proposeChange(0);
      await frozen;
      clearRelayHooks();
    },
  );

  when('another rank leads a change', async () => {
    await Promise.race([proposeChange(1), fleets.pause(2_000)]);
  });

  when('the frozen leader resumes', async () => {
    fleet.process('rank-0').thaw();
    await fleets.pause(500);
  });

  when(
    /^rank (\d) is disconnected from the leader after/,
    async (rank: string) => {
      const relay = fleet.relays.get(`peer-${rank}`)!;
      relay.onChunk = (direction, text) => {
        if (direction === 'down' && text.includes('"armed"')) {
          relay.cut();
          setTimeout(() => relay.restore(), 1_500);
        }
      };
      await proposeChange(0);
    },
  );

  when(
    /^the responses of rank (\d) to "(.*)" are lost/,
    async (rank: string, method: string) => {
      const relay = fleet.relays.get(`peer-${rank}`)!;
      relay.onChunk = (direction, text) => {
        if (direction === 'up' && text.includes(`"${method}"`)) {
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

  when(/^ranks 0 and 1 lead changes .* (\d+) times$/, async (count: string) => {
    for (let index = 0; index < Number(count); index += 1) {
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
    async (rank: string) => {
      const id = `rank-${rank}`;
      const relay = fleet.relays.get(`peer-${rank}`)!;
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

  then(/^all ranks use the last map$/, async () => {
    await fleets.eventually('five map changes are in use', async () => {
      const now = await readSteps();
      return now.records.length === 6;
    });
  });

  then('no step ran with more than one map version', async () => {
    const now = await readSteps();
    expect(now.mixedSteps).toBe(0);
  });

  then(
    /^the group was blocked for at most (\d+) of its steps$/,
    async (count: string) => {
      const now = await readSteps();
      const stepMs = 5;
      expect(now.blockedMs).toBeLessThanOrEqual(Number(count) * stepMs);
    },
  );

  then(/^the group continues within (\d+) seconds/, async (seconds: string) => {
    const earlier = await readSteps();
    await fleets.eventually(
      'steps continue and no rank is held',
      async () => {
        const now = await readSteps();
        const ranks = await Promise.all(
          fleet.engine.map(address =>
            testHttp.callJson<{hold: unknown; version: number | null}>(
              address,
              'GET',
              '/v1/rank',
            ),
          ),
        );
        const versions = new Set(ranks.map(rank => rank.version));
        return (
          now.steps > Math.max(earlier.steps, baseline.steps) + 10 &&
          ranks.every(rank => rank.hold === null) &&
          versions.size === 1 &&
          !versions.has(null)
        );
      },
      Number(seconds) * 1_000,
    );
  });
};

autoBindSteps([feature], [steps]);
