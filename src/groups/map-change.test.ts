/**
 * Map changes under random interleavings: delayed, lost and duplicated messages,
 * leaders that stop after any message, concurrent leaders and restarting sidecars.
 * The engines of this test check no fences.
 */
import * as fc from 'fast-check';
import {SILENT_LOG} from '../observability/log';
import {MapChangeCoordinator} from './map-change-coordinator';
import {EngineClient} from './engine-client';
import {nextBallot} from './lease';
import {LinkAnswer, RankLink} from './links';
import {RankMember} from './member';
import * as types from './types';

const RANKS = 3;
const STEPS = 14;
const RUNS = 800;
const FORM_RUNS = 200;
const SEED = 20261202;
const SETTINGS = {leadMs: 0, retryMs: 0, maxAttempts: 3};
const FIRST_VERSION = 1;

class ModelRank {
  version: number | null = FIRST_VERSION;
  hold: {step: number; change: types.MapChange} | null = null;
  next: {step: number; version: number} | null = null;

  constructor(
    private readonly group: ModelGroup,
    private readonly rank: number,
  ) {}

  async read(): Promise<types.EngineRank> {
    return {
      rank: this.rank,
      ranks: RANKS,
      generation: this.group.generation,
      step: this.group.step,
      version: this.version,
      staged: [],
      hold: this.hold,
      next: this.next,
      fence: null,
      stepMs: 5,
      rankMs: 5,
      counts: [],
      running: 0,
      maxRunning: 1,
      prefillTokens: 0,
    };
  }

  async stage(): Promise<boolean> {
    return true;
  }

  async holdAt(change: types.MapChange): Promise<boolean> {
    if (this.group.step >= change.step) {
      return false;
    }
    this.hold = {step: change.step, change};
    return true;
  }

  async switchTo(change: types.MapChange): Promise<boolean> {
    this.next = {step: change.step, version: change.map.version};
    this.hold = null;
    return true;
  }

  async release(change: types.MapChange): Promise<boolean> {
    if (this.hold?.change.id === change.id) {
      this.hold = null;
    }
    return true;
  }

  async form(change: types.MapChange): Promise<boolean> {
    this.version ??= change.map.version;
    return this.version === change.map.version;
  }

  isBlocked(step: number): boolean {
    const isHeld = this.hold !== null && step >= this.hold.step;
    return this.version === null || isHeld;
  }
}

class ModelEngineClient extends EngineClient {
  constructor(private readonly model: ModelRank) {
    super();
  }

  read() {
    return this.model.read();
  }

  stage() {
    return this.model.stage();
  }

  hold(change: types.MapChange) {
    return this.model.holdAt(change);
  }

  switchTo(change: types.MapChange) {
    return this.model.switchTo(change);
  }

  release(change: types.MapChange) {
    return this.model.release(change);
  }

  form(change: types.MapChange) {
    return this.model.form(change);
  }
}

class ModelGroup {
  step = 1;
  generation = 1;
  mixedSteps = 0;
  readonly ranks: ModelRank[] = [];
  readonly members: RankMember[] = [];
  private restarts = 0;

  constructor() {
    for (let rank = 0; rank < RANKS; rank += 1) {
      this.ranks.push(new ModelRank(this, rank));
      this.restartSidecar(rank);
    }
  }

  restartSidecar(rank: number): void {
    this.restarts += 1;
    const orders = new ModelEngineClient(this.ranks[rank]!);
    this.members[rank] = new RankMember(`life-${this.restarts}`, orders);
  }

  /** Restarts all engines of the group, without a map. */
  reform(): void {
    this.generation += 1;
    for (const rank of this.ranks) {
      rank.version = null;
      rank.hold = null;
      rank.next = null;
    }
  }

  runStep(): void {
    if (this.ranks.some(rank => rank.isBlocked(this.step))) {
      return;
    }
    for (const rank of this.ranks) {
      if (rank.next !== null && this.step >= rank.next.step) {
        rank.version = rank.next.version;
        rank.next = null;
      }
    }
    const versions = new Set(this.ranks.map(rank => rank.version));
    this.mixedSteps += versions.size > 1 ? 1 : 0;
    this.step += 1;
  }
}

type Fate = 'delivered' | 'lost' | 'answer-lost' | 'doubled';

/** A leader's network; messages after the first `diesAfter` get no answer. */
class ModelNetwork {
  private sent = 0;

  constructor(
    private readonly group: ModelGroup,
    private readonly scheduler: fc.Scheduler,
    private readonly fates: readonly Fate[],
    private readonly diesAfter: number,
  ) {}

  links(): RankLink[] {
    return this.group.members.map((_, rank) => new ModelLink(this, rank));
  }

  async send(
    rank: number,
    act: (member: RankMember) => Promise<LinkAnswer>,
  ): Promise<LinkAnswer> {
    this.sent += 1;
    if (this.sent > this.diesAfter) {
      return new Promise(() => undefined);
    }
    const fate = this.fates[this.sent % this.fates.length]!;
    await this.scheduler.schedule(Promise.resolve(), `to ${rank}`);
    if (fate === 'lost') {
      return undefined;
    }
    const answer = await act(this.group.members[rank]!);
    if (fate === 'doubled') {
      void this.scheduler
        .schedule(Promise.resolve(), `again to ${rank}`)
        .then(() => act(this.group.members[rank]!));
    }
    await this.scheduler.schedule(Promise.resolve(), `from ${rank}`);
    return fate === 'answer-lost' ? undefined : answer;
  }
}

class ModelLink extends RankLink {
  constructor(
    private readonly network: ModelNetwork,
    private readonly rank: number,
  ) {
    super();
  }

  query(change: types.MapChange | null, fence: types.Fence | null) {
    return this.network.send(this.rank, member => member.query(change, fence));
  }

  stage(change: types.MapChange, fence: types.Fence) {
    return this.network.send(this.rank, member => member.stage(change, fence));
  }

  arm(change: types.MapChange, fence: types.Fence, incarnation: string) {
    return this.network.send(this.rank, member =>
      member.arm(change, fence, incarnation),
    );
  }

  commit(change: types.MapChange, fence: types.Fence) {
    return this.network.send(this.rank, member => member.commit(change, fence));
  }

  abort(change: types.MapChange, fence: types.Fence) {
    return this.network.send(this.rank, member => member.abort(change, fence));
  }
}

const mapOf = (version: number): types.ExpertMap => ({version, layers: []});

/** Runs tasks in the drawn order until none is left. */
async function settle(scheduler: fc.Scheduler): Promise<void> {
  const QUIET_ROUNDS = 4;
  let quiet = 0;
  while (quiet < QUIET_ROUNDS) {
    quiet = scheduler.count() === 0 ? quiet + 1 : 0;
    await scheduler.waitAll();
    await new Promise(resolve => setTimeout(resolve, 1));
  }
}

/** The first change that any rank arms for; undefined after all tries. */
async function waitForHold(
  group: ModelGroup,
  scheduler: fc.Scheduler,
): Promise<types.MapChange | undefined> {
  const TRIES = 40;
  for (let tries = 0; tries < TRIES; tries += 1) {
    const change = group.ranks.find(rank => rank.hold !== null)?.hold?.change;
    if (change !== undefined) {
      return change;
    }
    await scheduler.schedule(Promise.resolve(), 'look for a hold');
  }
  return undefined;
}

/** Takes over a change while its leader may still be running. */
async function takeOver(
  group: ModelGroup,
  scheduler: fc.Scheduler,
  rank: number,
  fates: readonly Fate[],
): Promise<void> {
  const change = await waitForHold(group, scheduler);
  if (change !== undefined) {
    const network = new ModelNetwork(group, scheduler, fates, Infinity);
    const coordinator = new MapChangeCoordinator(
      network.links(),
      SILENT_LOG,
      SETTINGS,
    );
    const highest = await coordinator.highestFence();
    await coordinator.recover(nextBallot(highest, rank), change);
  }
}

/** Recovers the change of each armed rank in turn. */
async function recoverAll(
  group: ModelGroup,
  scheduler: fc.Scheduler,
): Promise<void> {
  for (let rank = 0; rank < RANKS; rank += 1) {
    const change = await group.members[rank]!.heldChange();
    if (change === null) {
      continue;
    }
    const network = new ModelNetwork(group, scheduler, ['delivered'], Infinity);
    const coordinator = new MapChangeCoordinator(
      network.links(),
      SILENT_LOG,
      SETTINGS,
    );
    void coordinator
      .highestFence()
      .then(highest => coordinator.recover(nextBallot(highest, rank), change));
    await settle(scheduler);
  }
}

const fateArbitrary = fc.array(
  fc.oneof(
    {weight: 6, arbitrary: fc.constant<Fate>('delivered')},
    {weight: 1, arbitrary: fc.constantFrom<Fate>('lost', 'answer-lost')},
    {weight: 1, arbitrary: fc.constant<Fate>('doubled')},
  ),
  {minLength: 5, maxLength: 30},
);

const scenario = fc.record({
  leaders: fc.integer({min: 1, max: 2}),
  fates: fc.tuple(fateArbitrary, fateArbitrary),
  diesAfter: fc.tuple(fc.nat(30), fc.nat(30)),
  restarts: fc.array(fc.nat(RANKS - 1), {maxLength: 3}),
  takeovers: fc.array(fc.nat(RANKS - 1), {maxLength: 3}),
});

describe('a map change under random interleavings', () => {
  it('never runs a step with different maps on two ranks', async () => {
    let committed = 0;
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), scenario, async (scheduler, drawn) => {
        const group = new ModelGroup();
        drawn.fates.slice(0, drawn.leaders).forEach((fates, at) => {
          const diesAfter = drawn.diesAfter[at]!;
          const network = new ModelNetwork(group, scheduler, fates, diesAfter);
          const leader = new MapChangeCoordinator(
            network.links(),
            SILENT_LOG,
            SETTINGS,
          );
          const fence = {lease: 100 + at, ballot: 0, rank: at};
          void scheduler
            .schedule(Promise.resolve(), `leader ${at}`)
            .then(() => leader.change(fence, mapOf(fence.lease)));
        });
        for (const rank of drawn.restarts) {
          void scheduler
            .schedule(Promise.resolve(), `restart ${rank}`)
            .then(() => group.restartSidecar(rank));
        }
        for (let step = 0; step < STEPS; step += 1) {
          void scheduler
            .schedule(Promise.resolve(), 'step')
            .then(() => group.runStep());
        }
        for (const rank of drawn.takeovers) {
          void scheduler
            .schedule(Promise.resolve(), `takeover by ${rank}`)
            .then(() => takeOver(group, scheduler, rank, drawn.fates[1]));
        }
        await settle(scheduler);
        await recoverAll(group, scheduler);
        for (let step = 0; step < STEPS; step += 1) {
          group.runStep();
        }
        const versions = group.ranks.map(rank => rank.version);
        expect(group.mixedSteps).toBe(0);
        expect(new Set(versions).size).toBe(1);
        expect(group.ranks.map(rank => rank.hold)).toEqual([null, null, null]);
        committed += versions[0] === FIRST_VERSION ? 0 : 1;
      }),
      {numRuns: RUNS, seed: SEED},
    );
    // Ensures that the property is tested with committed changes.
    expect(committed).toBeGreaterThan(RUNS / 20);
  });

  it('forms a restarted group with one map under any leaders', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), scenario, async (scheduler, drawn) => {
        const group = new ModelGroup();
        group.reform();
        drawn.fates.forEach((fates, at) => {
          const diesAfter = drawn.diesAfter[at]!;
          const network = new ModelNetwork(group, scheduler, fates, diesAfter);
          const leader = new MapChangeCoordinator(
            network.links(),
            SILENT_LOG,
            SETTINGS,
          );
          const fence = {lease: 100 + at, ballot: 0, rank: at};
          void scheduler
            .schedule(Promise.resolve(), `leader ${at}`)
            .then(() =>
              leader.form(fence, taken => mapOf(taken ?? fence.lease)),
            );
        });
        for (const rank of drawn.restarts) {
          void scheduler
            .schedule(Promise.resolve(), `restart ${rank}`)
            .then(() => group.restartSidecar(rank));
        }
        await settle(scheduler);
        group.runStep();
        const network = new ModelNetwork(group, scheduler, ['delivered'], 1e9);
        const last = new MapChangeCoordinator(
          network.links(),
          SILENT_LOG,
          SETTINGS,
        );
        const fence = {lease: 200, ballot: 0, rank: 0};
        void last.form(fence, taken => mapOf(taken ?? fence.lease));
        await settle(scheduler);
        group.runStep();
        expect(group.mixedSteps).toBe(0);
        expect(group.step).toBeGreaterThan(1);
      }),
      {numRuns: FORM_RUNS, seed: SEED},
    );
  });

  it('refuses an order to arm from before the sidecar restarted', async () => {
    const group = new ModelGroup();
    const early = {lease: 5, ballot: 0, rank: 0};
    const later = {lease: 5, ballot: 1, rank: 1};
    const change: types.MapChange = {
      id: 'change',
      generation: 1,
      from: FIRST_VERSION,
      step: 9,
      map: mapOf(5),
    };
    const queried = await group.members[2]!.query(null, early);
    // Another rank takes over, finds this one unarmed and aborts.
    await group.members[2]!.query(change, later);
    await group.members[2]!.abort(change, later);
    group.restartSidecar(2);
    const late = await group.members[2]!.arm(
      change,
      early,
      queried.answer!.incarnation,
    );
    expect(late.refusal).toBe('other-incarnation');
    expect(group.ranks[2]!.hold).toBeNull();
  });

  // The first leader's map reaches one rank only, the second leader arms the others
  // for the same map by its own change, and the third one finishes the first change.
  it('commits a map for which ranks were armed by another change', async () => {
    const group = new ModelGroup();
    group.reform();
    const links = group.members.map(
      member =>
        ({
          query: (change, fence) => member.query(change, fence),
          commit: (change, fence) => member.commit(change, fence),
          abort: (change, fence) => member.abort(change, fence),
        }) as RankLink,
    );
    const fences = [0, 1, 2].map(at => ({lease: 5 + at, ballot: 0, rank: at}));
    const first: types.MapChange = {
      id: 'first',
      generation: group.generation,
      from: 0,
      step: 0,
      map: mapOf(5),
    };
    const second = {...first, id: 'second'};
    for (const member of group.members) {
      await member.arm(first, fences[0]!, member.incarnation);
    }
    await group.members[1]!.commit(first, fences[0]!);
    for (const member of group.members) {
      await member.arm(second, fences[1]!, member.incarnation);
    }
    const leader = new MapChangeCoordinator(links, SILENT_LOG, SETTINGS);
    const end = await leader.recover(fences[2]!, first);
    expect(end.kind).toBe('committed');
    expect(group.ranks.map(rank => rank.version)).toEqual([5, 5, 5]);
  });

  it('refuses a map for which a rank was armed before the group re-formed', async () => {
    const group = new ModelGroup();
    group.reform();
    const fence = {lease: 5, ballot: 0, rank: 0};
    const [member] = group.members;
    const change: types.MapChange = {
      id: 'first',
      generation: group.generation,
      from: 0,
      step: 0,
      map: mapOf(5),
    };
    await member!.arm(change, fence, member!.incarnation);
    group.reform();
    const later = {...change, id: 'second', generation: group.generation};
    const answer = await member!.commit(later, fence);
    expect(answer.refusal).toBe('not-armed');
    const other = {...change, id: 'third', map: mapOf(6)};
    expect((await member!.commit(other, fence)).refusal).toBe('not-armed');
  });
});
