/**
 * Leads a group from the sidecar of one of its ranks: starts changes under a lease,
 * takes over a change whose leader is silent, and gives a re-formed group its map.
 */
import {randomUUID} from 'node:crypto';
import {Log} from '../observability/log';
import type {ObjectApi} from '../platform/client';
import {ChangeResult, MapChangeCoordinator} from './map-change-coordinator';
import * as lease from './lease';
import type {RankLink} from './links';
import type {RankMember} from './member';
import * as types from './types';

export interface LeaderIdentity {
  readonly group: string;
  readonly rank: number;
  readonly holder: string;
}

export interface TakeoverSettings {
  /** Delay after the time at which the change's step is expected. */
  readonly delayMs: number;
  /** Added for each lower rank, so that the lowest rank takes over first. */
  readonly perRankDelayMs: number;
}

export const DEFAULT_TAKEOVER_SETTINGS: TakeoverSettings = {
  delayMs: 250,
  perRankDelayMs: 60,
};

export class GroupLeader {
  private takeoverTimer: NodeJS.Timeout | undefined;
  private isRecovering = false;
  private closed = false;

  constructor(
    private readonly identity: LeaderIdentity,
    private readonly member: RankMember,
    private readonly store: ObjectApi,
    private readonly log: Log,
    /** Links to all ranks in order, including this one. */
    private readonly links: () => readonly RankLink[],
    /** Map of a re-formed group; `version` is the one that a rank has taken, or null. */
    private readonly baseMap: (version: number | null) => types.ExpertMap,
    private readonly settings = DEFAULT_TAKEOVER_SETTINGS,
  ) {}

  /** Schedules a takeover while the rank is on hold or has no map. */
  noteReading(rank: types.EngineRank): void {
    const isStalled = rank.hold !== null || rank.version === null;
    if (!isStalled) {
      clearTimeout(this.takeoverTimer);
      this.takeoverTimer = undefined;
      return;
    }
    this.takeoverTimer ??= setTimeout(
      () => void this.takeOver(),
      this.takeoverDelayMs(rank),
    );
  }

  /**
   * Starts a change to the map that `make` builds for the lease version, which
   * becomes the map's version. Null if the lease could not be acquired.
   */
  async propose(
    make: (version: number) => types.ExpertMap,
  ): Promise<ChangeResult | null> {
    const fence = await this.acquireFence();
    if (fence === null || this.closed) {
      return null;
    }
    const coordinator = this.coordinator();
    return coordinator.change(fence, make(fence.lease));
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.takeoverTimer);
  }

  private takeoverDelayMs(rank: types.EngineRank): number {
    const stepsLeft = Math.max((rank.hold?.step ?? 0) - rank.step, 0);
    const untilStepMs = stepsLeft * rank.stepMs;
    const {delayMs, perRankDelayMs} = this.settings;
    return untilStepMs + delayMs + perRankDelayMs * this.identity.rank;
  }

  private async takeOver(): Promise<void> {
    this.takeoverTimer = undefined;
    if (this.isRecovering || this.closed) {
      return;
    }
    this.isRecovering = true;
    try {
      await this.recover();
    } finally {
      this.isRecovering = false;
    }
  }

  private async recover(): Promise<void> {
    const {answer} = await this.member.query(null, null);
    const change = await this.member.heldChange();
    if (change !== null) {
      await this.finishChange(change);
    } else if (answer !== null && answer.version === null) {
      await this.reform();
    }
  }

  private async finishChange(change: types.MapChange): Promise<void> {
    const coordinator = this.coordinator();
    const outcome = await coordinator.findOutcome(change);
    const fence = this.member.highestFence;
    if (outcome === 'committed') {
      await this.member.commit(change, fence);
      return;
    }
    if (outcome === 'aborted') {
      await this.member.abort(change, fence);
      return;
    }
    const ballot = await this.nextBallot(coordinator);
    const end = await coordinator.recover(ballot, change);
    this.log.event('mapChangeRecovered', {change: change.id, end: end.kind});
  }

  private async reform(): Promise<void> {
    const coordinator = this.coordinator();
    const fence =
      (await this.acquireFence()) ?? (await this.nextBallot(coordinator));
    const end = await coordinator.form(fence, this.baseMap);
    this.log.event('mapChangeRecovered', {form: true, end: end.kind});
  }

  private async nextBallot(
    coordinator: MapChangeCoordinator,
  ): Promise<types.Fence> {
    const highest = await coordinator.highestFence();
    return lease.nextBallot(highest, this.identity.rank);
  }

  private acquireFence(): Promise<types.Fence | null> {
    const {group, rank, holder} = this.identity;
    return lease.acquireFence(this.store, group, rank, holder, randomUUID());
  }

  private coordinator(): MapChangeCoordinator {
    return new MapChangeCoordinator(this.links(), this.log);
  }
}
