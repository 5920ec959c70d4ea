/**
 * The steps of a stand-in group: all ranks advance in lock-step, and each
 * step's map is recorded, so that a mixed step shows.
 */
import type {
  EngineRank,
  ExpertMap,
  Fence,
  MapChange,
} from '../src/groups/types';
import {compareFences, NO_FENCE} from '../src/groups/types';

/** Work that a rank does in a step. */
export interface StepRunner {
  /** Runs the rank's part of a step; answers its own time in ms. */
  runStep(): number;
}

interface RankState {
  readonly runner: StepRunner;
  version: number | null;
  hold: {step: number; change: MapChange} | null;
  scheduledSwitch: {step: number; version: number} | null;
  staged: Set<number>;
  fence: Fence;
  rankMs: number;
}

/** A change of map as the group ran it. */
export interface StepRecord {
  readonly step: number;
  readonly versions: readonly (number | null)[];
}

/** How the group is set up. */
export interface GroupOptions {
  readonly ranks: number;
  /** Shortest time of a step. */
  readonly stepMs: number;
  readonly layers: number;
  readonly experts: number;
  /** Milliseconds to stage a map. */
  readonly stageMs: number;
  readonly checksFences: boolean;
}

const BLOCKED_POLL_INTERVAL_MS = 1;

export class EngineGroup {
  readonly records: StepRecord[] = [];
  mixedSteps = 0;
  blockedMs = 0;
  /** Maps by version, as the ranks were given them. */
  readonly maps = new Map<number, ExpertMap>();
  private readonly states: RankState[] = [];
  private step = 1;
  private generation = 1;
  private lastStepMs: number;
  private timer: NodeJS.Timeout | undefined;
  private blockedSince: number | undefined;

  constructor(
    readonly options: GroupOptions,
    runners: readonly StepRunner[],
  ) {
    this.lastStepMs = options.stepMs;
    for (const runner of runners) {
      this.states.push({
        runner,
        version: 1,
        hold: null,
        scheduledSwitch: null,
        staged: new Set([1]),
        fence: NO_FENCE,
        rankMs: 0,
      });
    }
  }

  start(): void {
    this.timer = setTimeout(() => this.tick(), this.options.stepMs);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  /** Steps that the group has finished. */
  get steps(): number {
    return this.step - 1;
  }

  describe(
    rank: number,
  ): Omit<EngineRank, 'running' | 'maxRunning' | 'prefillTokens' | 'counts'> {
    const state = this.states[rank]!;
    return {
      rank,
      ranks: this.states.length,
      generation: this.generation,
      step: this.step,
      version: state.version,
      staged: [...state.staged],
      hold: state.hold,
      next: state.scheduledSwitch,
      fence: this.options.checksFences ? state.fence : null,
      stepMs: this.lastStepMs,
      rankMs: state.rankMs,
    };
  }

  /** False: the order's fence is lower than one seen before. */
  checkFence(rank: number, fence: Fence): boolean {
    const state = this.states[rank]!;
    if (!this.options.checksFences) {
      return true;
    }
    if (compareFences(fence, state.fence) < 0) {
      return false;
    }
    state.fence = fence;
    return true;
  }

  /** Loads a map's moved experts in the background. */
  async stage(rank: number, version: number): Promise<void> {
    const state = this.states[rank]!;
    await new Promise(done => setTimeout(done, this.options.stageMs));
    state.staged.add(version);
  }

  /** Promises not to run a step until told; false where it is too late. */
  hold(rank: number, change: MapChange): boolean {
    const state = this.states[rank]!;
    if (this.step >= change.step || change.generation !== this.generation) {
      return false;
    }
    state.hold = {step: change.step, change};
    return true;
  }

  /** Runs the new map from the change's step on. */
  switchAt(rank: number, change: MapChange): boolean {
    const state = this.states[rank]!;
    if (state.hold?.change.id !== change.id) {
      return false;
    }
    state.scheduledSwitch = {step: change.step, version: change.map.version};
    state.hold = null;
    this.maps.set(change.map.version, change.map);
    return true;
  }

  /** Goes on with the old map. */
  release(rank: number, changeId: string): boolean {
    const state = this.states[rank]!;
    if (state.hold?.change.id === changeId) {
      state.hold = null;
    }
    return true;
  }

  /** A rank has died and come back: the group waits for one map for all. */
  restart(): void {
    this.generation += 1;
    for (const state of this.states) {
      state.version = null;
      state.hold = null;
      state.scheduledSwitch = null;
      state.staged = new Set();
      state.fence = NO_FENCE;
    }
  }

  /** Gives a rank its map before the first step of a generation. */
  setInitialMap(rank: number, generation: number, version: number): boolean {
    const state = this.states[rank]!;
    if (generation !== this.generation || state.version !== null) {
      return generation === this.generation && state.version === version;
    }
    state.version = version;
    state.staged.add(version);
    return true;
  }

  private tick(): void {
    const isBlocked = this.states.some(
      state =>
        state.version === null ||
        (state.hold !== null && this.step >= state.hold.step),
    );
    if (isBlocked) {
      this.blockedSince ??= Date.now();
      this.timer = setTimeout(() => this.tick(), BLOCKED_POLL_INTERVAL_MS);
      return;
    }
    if (this.blockedSince !== undefined) {
      this.blockedMs += Date.now() - this.blockedSince;
      this.blockedSince = undefined;
    }
    this.runStep();
    const waitMs = Math.max(this.options.stepMs, this.lastStepMs);
    this.timer = setTimeout(() => this.tick(), waitMs);
  }

  private runStep(): void {
    for (const state of this.states) {
      if (
        state.scheduledSwitch !== null &&
        this.step >= state.scheduledSwitch.step
      ) {
        state.version = state.scheduledSwitch.version;
        state.scheduledSwitch = null;
      }
      state.rankMs = state.runner.runStep();
    }
    this.recordStep();
    this.lastStepMs = Math.max(...this.states.map(state => state.rankMs));
    this.step += 1;
  }

  private recordStep(): void {
    const versions = this.states.map(state => state.version);
    if (new Set(versions).size > 1) {
      this.mixedSteps += 1;
    }
    const last = this.records[this.records.length - 1];
    if (last === undefined || String(last.versions) !== String(versions)) {
      this.records.push({step: this.step, versions});
    }
  }
}
