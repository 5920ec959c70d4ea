/**
 * All failures together: a seeded schedule of kills, freezes, outages, lost
 * answers and racing maps over a whole fleet under load, and the promises
 * checked at the end.
 */
import * as groupsApp from '../../src/groups/app';
import * as random from '../../src/random';
import {RpcClient} from '../../src/rpc/client';
import {expectedText} from '../../standins/engine';
import * as fleets from './fleet';
import * as testHttp from './http';
import * as site from './site';

const RANKS = 3;
const STREAM_TOKENS = 30;
const SETTLE_MS = 6_000;
const MAX_FAULT_MS = 900;
const ENTRIES = ['entry-0', 'entry-1'];

/** What went wrong, in words; empty where all promises held. */
export interface ChaosReport {
  readonly violations: string[];
  readonly streams: number;
  readonly wholeStreams: number;
  readonly topUps: number;
  readonly answeredTopUps: number;
  readonly faults: string[];
}

interface TopUp {
  readonly key: string;
  readonly outcomes: string[];
}

export class Chaos {
  private readonly violations: string[] = [];
  private readonly faults: string[] = [];
  private readonly topUps: TopUp[] = [];
  private readonly rpc = new RpcClient();
  private streams = 0;
  private wholeStreams = 0;
  private running = true;

  constructor(private readonly fleet: fleets.Fleet) {}

  /** Runs for a time; resolves once the fleet had time to settle. */
  async run(milliseconds: number): Promise<ChaosReport> {
    const lines = [
      ...ENTRIES.map(entry => this.streamLine(entry)),
      ...ENTRIES.map(entry => this.topUpLine(entry)),
    ];
    const endAt = Date.now() + milliseconds;
    while (Date.now() < endAt) {
      await this.injectFault();
      await fleets.pause(100 + random.integerBelow(300));
    }
    this.running = false;
    await this.mendAll();
    await Promise.all(lines);
    await fleets.pause(SETTLE_MS);
    await this.checkKeys();
    await this.checkSteps();
    this.rpc.close();
    return {
      violations: this.violations,
      streams: this.streams,
      wholeStreams: this.wholeStreams,
      topUps: this.topUps.length,
      answeredTopUps: this.topUps.filter(t => t.outcomes.includes('ran'))
        .length,
      faults: this.faults,
    };
  }

  private async injectFault(): Promise<void> {
    const kinds = ['kill', 'freeze', 'outage', 'lost answers', 'map'] as const;
    const kind = random.pick(kinds);
    const id = random.pick(this.fleet.idsOf(''));
    const forMs = 50 + random.integerBelow(MAX_FAULT_MS);
    this.faults.push(`${kind} ${id} ${forMs}`);
    switch (kind) {
      case 'kill':
        await this.fleet.process(id).kill();
        await fleets.pause(forMs / 4);
        this.fleet.process(id).start();
        return;
      case 'freeze':
        this.fleet.process(id).freeze();
        await fleets.pause(forMs);
        this.fleet.process(id).thaw();
        return;
      case 'outage':
        await this.fleet.setFaults(this.fleet.platform, {outage: true});
        await fleets.pause(forMs);
        await this.fleet.setFaults(this.fleet.platform, {outage: false});
        return;
      case 'lost answers':
        await this.fleet.setFaults(this.fleet.platform, {loseAnswers: 2});
        return;
      case 'map':
        this.proposeMap(random.integerBelow(RANKS), random.integerBelow(1_000));
    }
  }

  private proposeMap(rank: number, turn: number): void {
    const layers = Array.from({length: 2}, () =>
      Array.from({length: 16}, (_, expert) => [(expert + turn) % RANKS]),
    );
    const address = this.fleet.address(`rank-${rank}`);
    void this.rpc.call(address, groupsApp.propose, {layers}, 5_000);
  }

  private async mendAll(): Promise<void> {
    const faults = {outage: false, loseAnswers: 0};
    await this.fleet.setFaults(this.fleet.platform, faults);
    this.fleet.idsOf('').forEach(id => this.fleet.process(id).thaw());
  }

  private async streamLine(entry: string): Promise<void> {
    for (let turn = 0; this.running; turn += 1) {
      const content = `${entry} asks ${turn}`;
      const stream = this.fleet.chat(entry, 'alpha', content, STREAM_TOKENS);
      await Promise.race([stream.whenEnded(), fleets.pause(20_000)]);
      stream.close();
      this.checkStream(stream, content);
      await fleets.pause(20);
    }
  }

  private checkStream(stream: testHttp.EventStream, content: string): void {
    const messages = [{role: 'user', content}];
    const text = expectedText(messages, STREAM_TOKENS);
    this.streams += 1;
    this.wholeStreams += stream.isWhole ? 1 : 0;
    if (stream.isWhole && stream.text !== text) {
      this.violations.push(`a stream took an end for the whole: ${content}`);
    }
    if (!text.startsWith(stream.text)) {
      this.violations.push(`a stream is not its caller's: ${content}`);
    }
  }

  private async topUpLine(entry: string): Promise<void> {
    while (this.running) {
      const key = await this.tryMint(entry);
      if (key === undefined) {
        await fleets.pause(100);
        continue;
      }
      const topUp: TopUp = {key, outcomes: []};
      this.topUps.push(topUp);
      const COPIES = 3;
      for (let copy = 0; copy < COPIES; copy += 1) {
        const through = ENTRIES[(copy + ENTRIES.indexOf(entry)) % 2]!;
        const answer = await this.fleet.topUp(through, 'alpha', key);
        const outcome = answer.headers['ferrycleat-outcome'];
        topUp.outcomes.push(String(outcome ?? 'no answer'));
      }
    }
  }

  private async tryMint(entry: string): Promise<string | undefined> {
    const answer = await testHttp.call(
      this.fleet.address(entry),
      'POST',
      '/v1/request-keys',
      site.auth('alpha'),
      JSON.stringify({service: 'ledger'}),
      3_000,
    );
    if (answer.status !== 200 || answer.cut) {
      return undefined;
    }
    return (JSON.parse(answer.text) as {keys: string[]}).keys[0];
  }

  private async checkKeys(): Promise<void> {
    const runs = await this.fleet.runs();
    for (const {key, outcomes} of this.topUps) {
      const count = runs[key] ?? 0;
      if (count > 1) {
        this.violations.push(`${key} ran ${count} times: ${outcomes}`);
      }
      if (count > 0 && outcomes.includes('not-run')) {
        this.violations.push(`${key} ran, and was told: ${outcomes}`);
      }
      if (count === 0 && outcomes.includes('ran')) {
        this.violations.push(`${key} did not run, and was told: ${outcomes}`);
      }
    }
  }

  private async checkSteps(): Promise<void> {
    const read = () =>
      testHttp.callJson<{steps: number; mixedSteps: number}>(
        this.fleet.engine[0]!,
        'GET',
        '/standin/steps',
      );
    const before = await read();
    await fleets.pause(1_000);
    const after = await read();
    if (after.mixedSteps > 0) {
      this.violations.push(`${after.mixedSteps} steps were mixed`);
    }
    if (after.steps <= before.steps) {
      this.violations.push('the group stands still');
    }
  }
}

/** A fleet for it. */
export function openChaosFleet(): Promise<fleets.Fleet> {
  return fleets.Fleet.start({ranks: RANKS, service: {termMs: 4_000}});
}
