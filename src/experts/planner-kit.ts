/** Planners of a stand-in group, driven by the timers of the runtime. */
import {SILENT_LOG} from '../observability/log';
import {Metrics} from '../observability/metrics';
import * as kit from './change-kit';
import type {GroupClient, GroupReading, GroupRanks} from './group-client';
import {GroupPlanner} from './planner';
import type {RankReading, ReadOptions} from './types';

const EXPERTS = 2 * kit.RANKS;
const TOKENS_PER_READING = 4_000;
/** Share of the tokens that go to the expert in most demand. */
const HOT_SHARE = 0.6;
const SHIFT_INTERVAL_MS = 600;
const ELECTION_INTERVAL_MS = 150;
const FIGURES = {
  sets: 1,
  experts: EXPERTS,
  places: 4,
  spare: 2,
  share: 0.5,
  copyMs: 1,
  formMs: 100,
};

/** One process as the planner of the group; it may die or be deposed. */
class PlannerHost {
  isDead = false;
  private readonly planner: GroupPlanner;

  constructor(
    private readonly world: kit.World,
    private readonly own: number,
    /** 0 after it has stepped down. */
    public term: number,
    previousRank: number | undefined,
    hotExpert: () => number,
  ) {
    const client = {
      read: (options: ReadOptions) => this.read(options, hotExpert()),
      readAll: () => this.read(undefined, 0),
      ranksOf: ({ranks}: GroupReading) =>
        ranks.size === kit.RANKS ? this.ranks() : undefined,
      partialRanksOf: () => this.ranks(),
    };
    this.planner = new GroupPlanner({
      group: 'g',
      figures: () => FIGURES,
      groupClient: client as unknown as GroupClient,
      term: () => this.term,
      ownRank: () => own,
      ownState: async () => world.group.stateOf(own),
      previousRank: () => previousRank,
      onDeposed: () => (this.term = 0),
      onTick: () => undefined,
      log: SILENT_LOG,
      metrics: new Metrics(),
    });
    this.planner.start();
  }

  get isPlanner(): boolean {
    return !this.isDead && this.term !== 0;
  }

  /** Ends without waiting for anything. */
  kill(): void {
    this.isDead = true;
    // What its sidecar knew is lost with the process.
    this.world.group.ranks[this.own]!.term = 0;
    this.world.group.ranks[this.own]!.gave = undefined;
    void this.planner.close();
  }

  private ranks(): GroupRanks {
    const {world, own, term} = this;
    const ranks = new kit.FakeRanks(world, own, term, this);
    return ranks as unknown as GroupRanks;
  }

  private async read(
    options: ReadOptions | undefined,
    hotExpert: number,
  ): Promise<GroupReading> {
    const {world, own, term} = this;
    const fake = new kit.FakeRanks(world, own, term, this);
    const readings = await fake.read(fake.all);
    const ranks = new Map<string, RankReading>();
    readings.forEach((reading, at) => {
      if (reading !== undefined) {
        ranks.set(`sidecar-${at}`, reading);
        if (options?.planning) {
          world.group.ranks[at]!.gave ??= null;
        }
      }
    });
    const growth = new Float64Array(EXPERTS);
    if (!world.group.isIdle) {
      growth.fill((TOKENS_PER_READING * (1 - HOT_SHARE)) / EXPERTS);
      growth[hotExpert]! += TOKENS_PER_READING * HOT_SHARE;
    }
    return {
      ranks,
      isDeposed: world.group.ranks.some(rank => rank.term > term),
      growth: options?.growth ? growth : undefined,
    };
  }
}

/** A group with a planner, and another one when that dies or steps down. */
export class PlannedGroup {
  readonly world: kit.World;
  private readonly hosts: PlannerHost[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private hotExpert = 0;

  constructor(seed: number, faults: kit.Faults) {
    this.world = new kit.World(seed, faults, new kit.TimerSimulation(seed));
    const content = JSON.stringify([
      Array.from({length: kit.RANKS}, (_, at) => [at, at + kit.RANKS]),
    ]);
    this.world.group.ranks.forEach(rank => {
      rank.map = {version: 0, content};
    });
    this.timers.push(
      setInterval(() => this.shiftDemand(), SHIFT_INTERVAL_MS),
      setInterval(() => this.elect(), ELECTION_INTERVAL_MS),
    );
  }

  /** The rank of the planner; undefined: there is none. */
  get plannerRank(): number | undefined {
    const last = this.hosts[this.hosts.length - 1];
    return last?.isPlanner ? this.rankOfLast : undefined;
  }

  get version(): number {
    return this.world.group.ranks[0]!.map.version;
  }

  killPlanner(): void {
    const last = this.hosts[this.hosts.length - 1];
    if (last?.isPlanner) {
      last.kill();
    }
  }

  /** Has another process take over although the planner lives. */
  depose(): void {
    this.addHost();
  }

  close(): void {
    this.timers.forEach(timer => clearInterval(timer));
    this.hosts.forEach(host => !host.isDead && host.kill());
  }

  private get rankOfLast(): number {
    return (this.hosts.length * 3) % kit.RANKS;
  }

  private shiftDemand(): void {
    this.hotExpert = Math.floor(this.world.sim.unit() * EXPERTS);
  }

  private elect(): void {
    if (this.plannerRank === undefined) {
      this.addHost();
    }
  }

  private addHost(): void {
    const previous = this.hosts.length === 0 ? undefined : this.rankOfLast;
    const term = this.hosts.length + 1;
    const rank = (term * 3) % kit.RANKS;
    this.hosts.push(
      new PlannerHost(this.world, rank, term, previous, () => this.hotExpert),
    );
  }
}
