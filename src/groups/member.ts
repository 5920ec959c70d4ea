/**
 * A rank's side of a map change, in its sidecar.
 *
 * Holds and switches are read from the engine, so they survive a restart of the
 * sidecar. The highest fence, the aborted changes and an armed formation are kept
 * in memory only. An order to arm names the sidecar's incarnation, so that a late
 * order from before a restart is refused.
 */
import type {EngineClient} from './engine-client';
import * as types from './types';

export interface OrderAnswer {
  readonly refusal: types.OrderRefusal | null;
  /** Null if the engine does not answer. */
  readonly answer: types.RankAnswer | null;
}

const MAX_ABORTED = 64;

export class RankMember {
  private fence: types.Fence = types.NO_FENCE;
  private readonly aborted = new Set<string>();
  /** Change by which this rank has promised to take a re-formed group's map. */
  private armedFormation: types.MapChange | undefined;
  private queue: Promise<unknown> = Promise.resolve();

  constructor(
    readonly incarnation: string,
    private readonly engine: EngineClient,
  ) {}

  /** Highest fence that this rank has promised to obey. */
  get highestFence(): types.Fence {
    return this.fence;
  }

  /** The change that the rank is armed for, if any. */
  async heldChange(): Promise<types.MapChange | null> {
    const rank = await this.engine.read();
    const formation = rank?.version === null ? this.armedFormation : undefined;
    return rank?.hold?.change ?? formation ?? null;
  }

  /** Returns the rank's state; with a fence, also promises to obey it. */
  query(
    change: types.MapChange | null,
    fence: types.Fence | null,
  ): Promise<OrderAnswer> {
    return this.serialize(async () => {
      if (fence !== null && !this.raiseFence(fence)) {
        return this.refuse('old-fence', change);
      }
      return this.accept(change);
    });
  }

  /**
   * Loads a map while the current one stays in use. Not serialized: it may take
   * minutes, and other orders must not wait for it.
   */
  async stage(
    change: types.MapChange,
    fence: types.Fence,
  ): Promise<OrderAnswer> {
    if (!this.raiseFence(fence)) {
      return this.refuse('old-fence', change);
    }
    const isDone = await this.engine.stage(change, fence);
    return isDone ? this.accept(change) : this.refuse('engine-refused', change);
  }

  /** Promises not to run the change's step before the outcome is known. */
  arm(
    change: types.MapChange,
    fence: types.Fence,
    incarnation: string,
  ): Promise<OrderAnswer> {
    return this.serialize(async () => {
      if (incarnation !== this.incarnation) {
        return this.refuse('other-incarnation', change);
      }
      if (!this.raiseFence(fence)) {
        return this.refuse('old-fence', change);
      }
      if (this.aborted.has(change.id)) {
        return this.refuse('already-aborted', change);
      }
      const rank = await this.engine.read();
      if (rank !== undefined && this.stateOf(rank, change) === 'committed') {
        return this.accept(change);
      }
      const refusal = armRefusal(rank, change);
      if (refusal !== null) {
        return this.refuse(refusal, change);
      }
      if (rank?.version === null) {
        this.armedFormation = change;
        return this.accept(change);
      }
      const isDone = await this.engine.hold(change, fence);
      return isDone ? this.accept(change) : this.refuse('too-late', change);
    });
  }

  /** Uses the new map from the change's step on. */
  commit(change: types.MapChange, fence: types.Fence): Promise<OrderAnswer> {
    return this.serialize(async () => {
      if (!this.raiseFence(fence)) {
        return this.refuse('old-fence', change);
      }
      const rank = await this.engine.read();
      if (rank === undefined) {
        return this.refuse('engine-silent', change);
      }
      const state = this.stateOf(rank, change);
      if (state === 'committed') {
        return this.accept(change);
      }
      if (state !== 'armed') {
        return this.refuse('not-armed', change);
      }
      const isDone =
        rank.version === null
          ? await this.engine.form(change, fence)
          : await this.engine.switchTo(change, fence);
      return isDone
        ? this.accept(change)
        : this.refuse('engine-refused', change);
    });
  }

  /** Continues with the current map. */
  abort(change: types.MapChange, fence: types.Fence): Promise<OrderAnswer> {
    return this.serialize(async () => {
      if (!this.raiseFence(fence)) {
        return this.refuse('old-fence', change);
      }
      this.noteAborted(change.id);
      if (this.armedFormation?.id === change.id) {
        this.armedFormation = undefined;
      }
      const isDone = await this.engine.release(change, fence);
      return isDone
        ? this.accept(change)
        : this.refuse('engine-refused', change);
    });
  }

  private stateOf(
    rank: types.EngineRank,
    change: types.MapChange,
  ): types.RankAnswer['state'] {
    if (rank.hold?.change.id === change.id) {
      return 'armed';
    }
    const {version} = change.map;
    const isSameGeneration = rank.generation === change.generation;
    if (
      isSameGeneration &&
      (rank.version === version || rank.next?.version === version)
    ) {
      return 'committed';
    }
    if (rank.version === null && this.isArmedToForm(change)) {
      return 'armed';
    }
    return this.aborted.has(change.id) ? 'aborted' : 'none';
  }

  /**
   * Compares map versions rather than change ids: another leader may have armed
   * this rank for the same map, and its commit must not be refused. Otherwise a
   * group that three leaders formed in turn stood still for 2 s.
   */
  private isArmedToForm(change: types.MapChange): boolean {
    const formation = this.armedFormation;
    return (
      formation !== undefined &&
      formation.generation === change.generation &&
      formation.map.version === change.map.version
    );
  }

  private raiseFence(fence: types.Fence): boolean {
    if (types.compareFences(fence, this.fence) < 0) {
      return false;
    }
    this.fence = fence;
    return true;
  }

  private noteAborted(id: string): void {
    this.aborted.add(id);
    if (this.aborted.size > MAX_ABORTED) {
      const [oldest] = this.aborted;
      this.aborted.delete(oldest!);
    }
  }

  private async accept(change: types.MapChange | null): Promise<OrderAnswer> {
    const answer = await this.rankAnswer(change);
    return {refusal: answer === null ? 'engine-silent' : null, answer};
  }

  private async refuse(
    refusal: types.OrderRefusal,
    change: types.MapChange | null,
  ): Promise<OrderAnswer> {
    return {refusal, answer: await this.rankAnswer(change)};
  }

  private async rankAnswer(
    change: types.MapChange | null,
  ): Promise<types.RankAnswer | null> {
    const rank = await this.engine.read();
    if (rank === undefined) {
      return null;
    }
    if (rank.fence !== null) {
      // Restores the highest fence after a restart of the sidecar.
      this.raiseFence(rank.fence);
    }
    return {
      rank: rank.rank,
      incarnation: this.incarnation,
      generation: rank.generation,
      step: rank.step,
      stepMs: rank.stepMs,
      version: rank.version,
      fence: this.fence,
      state: change === null ? 'none' : this.stateOf(rank, change),
    };
  }

  /** Runs one order at a time, as each reads the engine's state and acts on it. */
  private serialize<T>(action: () => Promise<T>): Promise<T> {
    const next = this.queue.then(action, action);
    this.queue = next.catch(() => undefined);
    return next;
  }
}

function armRefusal(
  rank: types.EngineRank | undefined,
  change: types.MapChange,
): types.OrderRefusal | null {
  if (rank === undefined) {
    return 'engine-silent';
  }
  if (rank.generation !== change.generation) {
    return 'other-generation';
  }
  if (rank.version === null) {
    return null;
  }
  const isBusy = rank.next !== null || hasOtherHold(rank, change);
  if (isBusy || rank.version !== change.from) {
    return 'engine-refused';
  }
  return rank.step >= change.step ? 'too-late' : null;
}

function hasOtherHold(
  rank: types.EngineRank,
  change: types.MapChange,
): boolean {
  return rank.hold !== null && rank.hold.change.id !== change.id;
}
