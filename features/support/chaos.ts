/**
 * Injects randomly drawn faults into a fleet under load and checks that streams carry
 * only their own tokens, that no step mixes map versions and that no top-up runs twice.
 * A seed doesn't fix the timing of the processes: two runs with the same seed can differ.
 */
import * as groupsApp from '../../src/groups/app';
import * as random from '../../src/random';
import {RpcClient} from '../../src/rpc/client';
import {expectedText} from '../../standins/engine';
import * as faults from './faults';
import * as fleets from './fleet';
import * as testHttp from './http';
import * as site from './site';

const RANKS = 3;
const STREAM_TOKENS = 30;
const SETTLE_MS = 6_000;
const ENTRIES = ['entry-0', 'entry-1'];
const PACE: faults.Pace = {
  durationMs: () => 50 + random.integerBelow(900),
  pauseMs: () => 100 + random.integerBelow(300),
};

export interface ChaosReport {
  /** Broken guarantees, each with the time at which it was detected. */
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

/** The store applies writes without answering them. */
class LostAnswers extends faults.Fault {
  constructor(private readonly fleet: fleets.Fleet) {
    super('lost answers');
  }

  async inject(): Promise<void> {
    await this.fleet.setFaults(this.fleet.platform, {loseAnswers: 2});
  }
}

/** Proposes a change of the expert map at a rank. */
class MapProposal extends faults.Fault {
  constructor(
    private readonly fleet: fleets.Fleet,
    private readonly rpc: RpcClient,
  ) {
    super('map');
  }

  async inject(): Promise<void> {
    const rank = random.integerBelow(RANKS);
    const sequence = random.integerBelow(1_000);
    const layers = Array.from({length: 2}, () =>
      Array.from({length: 16}, (_, expert) => [(expert + sequence) % RANKS]),
    );
    const address = this.fleet.address(`rank-${rank}`);
    void this.rpc.call(address, groupsApp.propose, {layers}, 5_000);
  }
}

export class ChaosRun {
  private readonly report = new faults.SoakReport();
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
    await this.drawSchedule(milliseconds).run(this.report);
    this.isRunning = false;
    await this.clearFaults();
    await Promise.all(clients);
    await fleets.pause(SETTLE_MS);
    await this.checkTopUps();
    await this.checkSteps();
    this.rpc.close();
    return {
      violations: this.report.violations,
      streams: this.streams,
      wholeStreams: this.wholeStreams,
      topUps: this.topUps.length,
      answeredTopUps: this.topUps.filter(t => t.outcomes.includes('ran'))
        .length,
      faults: this.report.faults,
    };
  }

  private drawSchedule(milliseconds: number): faults.FaultSchedule {
    const {fleet} = this;
    const processOf = (id: string) => fleet.process(id);
    const kinds = [
      new faults.KillFault(processOf),
      new faults.FreezeFault(processOf),
      new faults.OutageFault(outage =>
        fleet.setFaults(fleet.platform, {outage}),
      ),
      new LostAnswers(fleet),
      new MapProposal(fleet, this.rpc),
    ];
    const ids = fleet.idsWithPrefix('');
    return new faults.FaultSchedule(kinds, ids, PACE, milliseconds);
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
      this.report.addViolation(
        `a stream with the end marker is incomplete: ${content}`,
      );
    }
    if (!text.startsWith(stream.text)) {
      this.report.addViolation(
        `a stream has another request's tokens: ${content}`,
      );
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
        this.report.addViolation(`${key} ran ${count} times: ${outcomes}`);
      }
      if (count > 0 && outcomes.includes('not-run')) {
        this.report.addViolation(`${key} ran, outcomes sent: ${outcomes}`);
      }
      if (count === 0 && outcomes.includes('ran')) {
        this.report.addViolation(
          `${key} did not run, outcomes sent: ${outcomes}`,
        );
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
      this.report.addViolation(
        `${after.mixedSteps} steps ran with different map versions`,
      );
    }
    if (after.steps <= before.steps) {
      this.report.addViolation('the group runs no steps');
    }
  }
}

export function startChaosFleet(): Promise<fleets.Fleet> {
  return fleets.Fleet.start({ranks: RANKS, service: {termMs: 4_000}});
}
