/**
 * Recovery of real processes: time from a kill until every request is served
 * again, and the outcomes of the requests meanwhile; with the store up and down.
 */
import {Fleet, eventually, pause} from '../features/support/fleet';
import * as testHttp from '../features/support/http';
import * as groupsApp from '../src/groups/app';
import {RpcClient} from '../src/rpc/client';
import type {Benchmark} from './main';

const PROBE_INTERVAL_MS = 20;
const WARM_UP_MS = 500;
const STEADY_MS = 1_500;
const MAX_RECOVERY_MS = 20_000;

interface Probe {
  readonly sentAt: number;
  readonly outcome: string;
}

/** Sends requests at a fixed interval and records their outcomes. */
class Prober {
  readonly probes: Probe[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly send: () => Promise<string>) {}

  start(): void {
    this.timer = setInterval(() => {
      const sentAt = Date.now();
      void this.send().then(outcome => this.probes.push({sentAt, outcome}));
    }, PROBE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Waits until no request has failed for STEADY_MS, or for MAX_RECOVERY_MS.
   * Returns the milliseconds from `since` to the start of the last failed one.
   */
  async waitUntilSteady(since: number): Promise<number> {
    for (;;) {
      await pause(100);
      const failed = this.probes.filter(p => p.outcome !== 'served');
      const lastFailedAt = Math.max(
        since,
        ...failed.map(probe => probe.sentAt),
      );
      const now = Date.now();
      if (now - lastFailedAt > STEADY_MS || now - since > MAX_RECOVERY_MS) {
        return lastFailedAt - since;
      }
    }
  }

  outcomeShares(since: number): Record<string, number> {
    const after = this.probes.filter(probe => probe.sentAt >= since);
    const counts: Record<string, number> = {};
    for (const {outcome} of after) {
      counts[outcome] = (counts[outcome] ?? 0) + 1 / after.length;
    }
    return counts;
  }
}

/** Sends a top-up with a new request key from the entry. */
async function topUp(fleet: Fleet, entry: string): Promise<string> {
  const keyResponse = await testHttp.call(
    fleet.address(entry),
    'POST',
    '/v1/request-keys',
    {authorization: 'Bearer key-of-alpha'},
    '{"service":"ledger"}',
    5_000,
  );
  const {keys} = JSON.parse(keyResponse.text || '{}') as {keys?: string[]};
  if (keys?.[0] === undefined) {
    return 'no key';
  }
  const answer = await fleet.topUp(entry, 'alpha', keys[0]);
  return answer.status === 201
    ? 'served'
    : String(answer.headers['ferrycleat-outcome'] ?? 'no answer');
}

async function chat(fleet: Fleet, entry: string): Promise<string> {
  const stream = fleet.chat(entry, 'alpha', 'how long?', 3);
  await stream.whenEnded();
  return stream.isComplete ? 'served' : `status ${stream.status}`;
}

interface Case {
  readonly name: string;
  readonly ranks: number;
  readonly send: (fleet: Fleet) => Promise<string>;
  readonly injectFault: (fleet: Fleet) => Promise<void>;
}

const CASES: readonly Case[] = [
  {
    name: 'entry killed, callers go to the other',
    ranks: 1,
    send: async fleet => {
      const first = await chat(fleet, 'entry-0');
      return first === 'served' ? first : chat(fleet, 'entry-1');
    },
    injectFault: fleet => fleet.process('entry-0').kill(),
  },
  {
    name: 'rank sidecar killed, restarted in place',
    ranks: 2,
    send: fleet => chat(fleet, 'entry-1'),
    injectFault: async fleet => {
      await fleet.process('rank-1').kill();
      fleet.process('rank-1').start();
    },
  },
  {
    name: 'owner killed, restarted in place',
    ranks: 0,
    send: fleet => topUp(fleet, 'entry-1'),
    injectFault: async fleet => {
      await fleet.process('ledger-0').kill();
      fleet.process('ledger-0').start();
    },
  },
  {
    name: 'owner killed for good',
    ranks: 0,
    send: fleet => topUp(fleet, 'entry-1'),
    injectFault: async fleet => {
      await fleet.process('ledger-0').kill();
    },
  },
];

async function measure(testCase: Case, storeDown: boolean) {
  const fleet = await Fleet.start({ranks: testCase.ranks});
  const prober = new Prober(() => testCase.send(fleet));
  try {
    prober.start();
    await pause(WARM_UP_MS);
    if (storeDown) {
      await fleet.setFaults(fleet.platform, {outage: true});
    }
    const since = Date.now();
    await testCase.injectFault(fleet);
    const recoveredMs = await prober.waitUntilSteady(since);
    const outcomes = prober.outcomeShares(since);
    return {case: testCase.name, storeDown, recoveredMs, outcomes};
  } finally {
    prober.stop();
    await fleet.close();
  }
}

/** Measures how long a group is blocked if its leader is killed after arming. */
async function measureLeaderKill(storeDown: boolean) {
  const fleet = await Fleet.start({
    ...{ranks: 3, ledgers: 0, entries: 1, relayRanks: true},
  });
  const rpc = new RpcClient();
  const readSteps = () =>
    testHttp.callJson<{steps: number; blockedMs: number}>(
      fleet.engine[0]!,
      'GET',
      '/standin/steps',
    );
  try {
    const killed = new Promise<void>(resolve => {
      const relay = fleet.relays.get('peer-2')!;
      relay.onChunk = (direction, text) => {
        if (direction === 'down' && text.includes('"armed"')) {
          relay.onChunk = undefined;
          void fleet.process('rank-0').kill().then(resolve);
        }
      };
    });
    const outage = {outageAfterWrites: storeDown ? 1 : null};
    await fleet.setFaults(fleet.platform, outage);
    const layers = Array.from({length: 2}, () =>
      Array.from({length: 16}, (_, expert) => [(expert + 1) % 3]),
    );
    void rpc.call(fleet.address('rank-0'), groupsApp.propose, {layers}, 5_000);
    await killed;
    fleet.process('rank-0').start();
    const {steps} = await readSteps();
    await eventually('the group resumes its steps', async () => {
      return (await readSteps()).steps > steps + 60;
    });
    const {blockedMs} = await readSteps();
    return {case: 'group leader killed after arming', storeDown, blockedMs};
  } finally {
    rpc.close();
    await fleet.close();
  }
}

async function run(): Promise<unknown> {
  const rows: unknown[] = [];
  for (const storeDown of [false, true]) {
    for (const testCase of CASES) {
      rows.push(await measure(testCase, storeDown));
    }
    rows.push(await measureLeaderKill(storeDown));
  }
  return rows;
}

export const benchmark: Benchmark = {
  name: 'recovery',
  description: 'time to full service after a kill',
  run,
};
