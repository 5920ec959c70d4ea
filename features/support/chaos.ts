/**
 * Injects randomly drawn faults into a fleet under load and checks that streams carry
 * only their own tokens, that no step mixes map versions and that no top-up runs twice.
 * A seed doesn't fix the timing of the processes: two runs with the same seed can differ.
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

export interface ChaosReport {
  /** Descriptions of broken guarantees. */
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

export class ChaosRun {
  private readonly violations: string[] = [];
  private readonly faults: string[] = [];
  private readonly topUps: TopUp[] = [];
  private readonly rpc = new RpcClient();
  private streams = 0;
  private wholeStreams = 0;
  private isRunning = true;

  constructor(private readonly fleet: fleets.Fleet) {}

  /** Injects faults for `milliseconds`, lets the fleet recover and checks it. */
  async run(milliseconds: number): Promise<ChaosReport> {
    const clients = [
      ...ENTRIES.map(entry => this.streamLoop(entry)),
      ...ENTRIES.map(entry => this.topUpLoop(entry)),
    ];
    const endAt = Date.now() + milliseconds;
    while (Date.now() < endAt) {
      await this.injectFault();
      await fleets.pause(100 + random.integerBelow(300));
    }
    this.isRunning = false;
    await this.clearFaults();
    await Promise.all(clients);
    await fleets.pause(SETTLE_MS);
    await this.checkTopUps();
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
    const id = random.pick(this.fleet.idsWithPrefix(''));
    const durationMs = 50 + random.integerBelow(MAX_FAULT_MS);
    this.faults.push(`${kind} ${id} ${durationMs}`);
    switch (kind) {
      case 'kill':
        await this.fleet.process(id).kill();
        await fleets.pause(durationMs / 4);
        this.fleet.process(id).start();
        return;
      case 'freeze':
        this.fleet.process(id).freeze();
        await fleets.pause(durationMs);
        this.fleet.process(id).thaw();
        return;
      case 'outage':
        await this.fleet.setFaults(this.fleet.platform, {outage: true});
        await fleets.pause(durationMs);
        await this.fleet.setFaults(this.fleet.platform, {outage: false});
        return;
      case 'lost answers':
        await this.fleet.setFaults(this.fleet.platform, {loseAnswers: 2});
        return;
      case 'map':
        this.proposeMap(random.integerBelow(RANKS), random.integerBelow(1_000));
    }
  }

  private proposeMap(rank: number, sequence: number): void {
    const layers = Array.from({length: 2}, () =>
      Array.from({length: 16}, (_, expert) => [(expert + sequence) % RANKS]),
    );
    const address = this.fleet.address(`rank-${rank}`);
    void this.rpc.call(address, groupsApp.propose, {layers}, 5_000);
  }

  private async clearFaults(): Promise<void> {
    const faults = {outage: false, loseAnswers: 0};
    await this.fleet.setFaults(this.fleet.platform, faults);
    this.fleet.idsWithPrefix('').forEach(id => this.fleet.process(id).thaw());
  }

  private async streamLoop(entry: string): Promise<void> {
    for (let sequence = 0; this.isRunning; sequence += 1) {
      const content = `${entry} asks ${sequence}`;
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
    this.wholeStreams += stream.isComplete ? 1 : 0;
    if (stream.isComplete && stream.text !== text) {
      this.violations.push(
        `a stream with the end marker is incomplete: ${content}`,
      );
    }
    if (!text.startsWith(stream.text)) {
      this.violations.push(`a stream has another request's tokens: ${content}`);
    }
  }

  private async topUpLoop(entry: string): Promise<void> {
    while (this.isRunning) {
      const key = await this.tryMint(entry);
      if (key === undefined) {
        await fleets.pause(100);
        continue;
      }
      const topUp: TopUp = {key, outcomes: []};
      this.topUps.push(topUp);
      const COPIES = 3;
      for (let copy = 0; copy < COPIES; copy += 1) {
        const receiver = ENTRIES[(copy + ENTRIES.indexOf(entry)) % 2]!;
        const response = await this.fleet.topUp(receiver, 'alpha', key);
        const outcome = response.headers['ferrycleat-outcome'];
        topUp.outcomes.push(String(outcome ?? 'no answer'));
      }
    }
  }

  private async tryMint(entry: string): Promise<string | undefined> {
    const response = await testHttp.call(
      this.fleet.address(entry),
      'POST',
      '/v1/request-keys',
      site.authHeaders('alpha'),
      JSON.stringify({service: 'ledger'}),
      3_000,
    );
    if (response.status !== 200 || response.isTruncated) {
      return undefined;
    }
    return (JSON.parse(response.text) as {keys: string[]}).keys[0];
  }

  private async checkTopUps(): Promise<void> {
    const runs = await this.fleet.runCounts();
    for (const {key, outcomes} of this.topUps) {
      const count = runs[key] ?? 0;
      if (count > 1) {
        this.violations.push(`${key} ran ${count} times: ${outcomes}`);
      }
      if (count > 0 && outcomes.includes('not-run')) {
        this.violations.push(`${key} ran, outcomes sent: ${outcomes}`);
      }
      if (count === 0 && outcomes.includes('ran')) {
        this.violations.push(`${key} did not run, outcomes sent: ${outcomes}`);
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
      this.violations.push(
        `${after.mixedSteps} steps ran with different map versions`,
      );
    }
    if (after.steps <= before.steps) {
      this.violations.push('the group runs no steps');
    }
  }
}

export function startChaosFleet(): Promise<fleets.Fleet> {
  return fleets.Fleet.start({ranks: RANKS, service: {termMs: 4_000}});
}
