/**
 * Step loop of a stand-in engine group: all ranks advance in lock-step. Counts
 * the steps in which ranks run different map versions.
 */
import type {
  EngineRank,
  ExpertMap,
  Fence,
  MapChange,
} from '../src/groups/types';
import {compareFences, NO_FENCE} from '../src/groups/types';

export interface StepRunner {
  /** Runs one rank's part of a step; returns its duration in milliseconds. */
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

/** Map versions by rank, from a step on until the next record. */
export interface StepRecord {
  readonly step: number;
  readonly versions: readonly (number | null)[];
}

export interface GroupOptions {
  readonly ranks: number;
  /** Minimum duration of a step. */
  readonly stepMs: number;
  readonly layers: number;
  readonly experts: number;
  /** Time to stage a map. */
  readonly stageMs: number;
  readonly checksFences: boolean;
}

const BLOCKED_POLL_INTERVAL_MS = 1;

export class EngineGroup {
  readonly records: StepRecord[] = [];
  mixedSteps = 0;
  blockedMs = 0;
  /** Maps by version, recorded when a rank accepts a switch. */
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

  /** Number of completed steps. */
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

  /** Returns false if the fence is lower than one that the rank has seen. */
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

  /** Simulates loading a map; takes `stageMs`. */
  async stage(rank: number, version: number): Promise<void> {
    const state = this.states[rank]!;
    await new Promise(done => setTimeout(done, this.options.stageMs));
    state.staged.add(version);
  }

  /**
   * Blocks the group from the change's step on, until a switch or a release.
   * Returns false if that step is reached or the generation differs.
   */
  hold(rank: number, change: MapChange): boolean {
    const state = this.states[rank]!;
    if (this.step >= change.step || change.generation !== this.generation) {
      return false;
    }
    state.hold = {step: change.step, change};
    return true;
  }

  /**
   * Ends a hold: the rank runs the new map from the change's step on. Returns
   * false if the rank holds no step for this change.
   */
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

  /** Ends a hold: the rank keeps its map. */
  release(rank: number, changeId: string): boolean {
    const state = this.states[rank]!;
    if (state.hold?.change.id === changeId) {
      state.hold = null;
    }
    return true;
  }

  /**
   * Simulates a restart: begins a generation in which no step runs until every
   * rank has an initial map.
   */
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

  /**
   * Sets a rank's map before the first step of a generation. Returns false if
   * the generation is not the current one or the rank has another map.
   */
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
    const lastRecord = this.records[this.records.length - 1];
    if (
      lastRecord === undefined ||
      String(lastRecord.versions) !== String(versions)
    ) {
      this.records.push({step: this.step, versions});
    }
  }
}
