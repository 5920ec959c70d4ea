/**
 * Recovery of real processes: time from a kill until every request is served
 * again, and what the requests on the way were told; the same with the store
 * down.
 */
import {Fleet, eventually, pause} from '../features/support/fleet';
import * as testHttp from '../features/support/http';
import * as groupsApp from '../src/groups/app';
import {RpcClient} from '../src/rpc/client';
import type {Bench} from './main';

const PROBE_EVERY_MS = 20;
const BEFORE_MS = 500;
const STEADY_MS = 1_500;
const LONGEST_MS = 20_000;

interface Probe {
  readonly at: number;
  readonly outcome: string;
}

/** Sends requests at a steady pace until all have been served for a while. */
class Prober {
  readonly probes: Probe[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly send: () => Promise<string>) {}

  start(): void {
    this.timer = setInterval(() => {
      const at = Date.now();
      void this.send().then(outcome => this.probes.push({at, outcome}));
    }, PROBE_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Milliseconds from a time until the last request that was not served. */
  async untilSteady(since: number): Promise<number> {
    for (;;) {
      await pause(100);
      const bad = this.probes.filter(p => p.outcome !== 'served');
      const last = Math.max(since, ...bad.map(probe => probe.at));
      const now = Date.now();
      if (now - last > STEADY_MS || now - since > LONGEST_MS) {
        return last - since;
      }
    }
  }

  shares(since: number): Record<string, number> {
    const after = this.probes.filter(probe => probe.at >= since);
    const counts: Record<string, number> = {};
    for (const {outcome} of after) {
      counts[outcome] = (counts[outcome] ?? 0) + 1 / after.length;
    }
    return counts;
  }
}

/** A top-up with a new key of the system's. */
async function topUp(fleet: Fleet, entry: string): Promise<string> {
  const minted = await testHttp.call(
    fleet.address(entry),
    'POST',
    '/v1/request-keys',
    {authorization: 'Bearer key-of-alpha'},
    '{"service":"ledger"}',
    5_000,
  );
  const {keys} = JSON.parse(minted.text || '{}') as {keys?: string[]};
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
  readonly act: (fleet: Fleet) => Promise<void>;
}

const CASES: readonly Case[] = [
  {
    name: 'entry killed, callers go to the other',
    ranks: 1,
    send: async fleet => {
      const first = await chat(fleet, 'entry-0');
      return first === 'served' ? first : chat(fleet, 'entry-1');
    },
    act: fleet => fleet.process('entry-0').kill(),
  },
  {
    name: 'rank sidecar killed, restarted in place',
    ranks: 2,
    send: fleet => chat(fleet, 'entry-1'),
    act: async fleet => {
      await fleet.process('rank-1').kill();
      fleet.process('rank-1').start();
    },
  },
  {
    name: 'owner killed, restarted in place',
    ranks: 0,
    send: fleet => topUp(fleet, 'entry-1'),
    act: async fleet => {
      await fleet.process('ledger-0').kill();
      fleet.process('ledger-0').start();
    },
  },
  {
    name: 'owner killed for good',
    ranks: 0,
    send: fleet => topUp(fleet, 'entry-1'),
    act: async fleet => {
      await fleet.process('ledger-0').kill();
    },
  },
];

async function measure(one: Case, storeDown: boolean) {
  const fleet = await Fleet.start({ranks: one.ranks});
  const prober = new Prober(() => one.send(fleet));
  try {
    prober.start();
    await pause(BEFORE_MS);
    if (storeDown) {
      await fleet.setFaults(fleet.platform, {outage: true});
    }
    const since = Date.now();
    await one.act(fleet);
    const recoveredMs = await prober.untilSteady(since);
    const outcomes = prober.shares(since);
    return {case: one.name, storeDown, recoveredMs, outcomes};
  } finally {
    prober.stop();
    await fleet.close();
  }
}

/** The pause of a group whose leader dies between arm and commit. */
async function measureLeader(storeDown: boolean) {
  const fleet = await Fleet.start({
    ...{ranks: 3, ledgers: 0, entries: 1, relayRanks: true},
  });
  const rpc = new RpcClient();
  const read = () =>
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
    const {steps} = await read();
    await eventually('it runs on', async () => {
      return (await read()).steps > steps + 60;
    });
    const {blockedMs} = await read();
    return {case: 'group leader killed after arming', storeDown, blockedMs};
  } finally {
    rpc.close();
    await fleet.close();
  }
}

async function run(): Promise<unknown> {
  const rows: unknown[] = [];
  for (const storeDown of [false, true]) {
    for (const one of CASES) {
      rows.push(await measure(one, storeDown));
    }
    rows.push(await measureLeader(storeDown));
  }
  return rows;
}

export const bench: Bench = {
  name: 'recovery',
  text: 'time to full service after a kill',
  run,
};
