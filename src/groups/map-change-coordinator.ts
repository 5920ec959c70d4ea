/**
 * The leader's side of a map change: stage, arm, then commit or abort.
 *
 * Commit is decided only once every rank is armed. Abort is decided only when that
 * can no longer happen: by the leader itself before its decision, or by a new
 * leader that found an unarmed rank which has promised to obey its higher fence.
 * A change blocks while a rank is silent; the group can't run a step without that
 * rank anyway.
 */
import {randomUUID} from 'node:crypto';
import {Log} from '../observability/log';
import type {LinkAnswer, RankLink} from './links';
import * as types from './types';

export type ChangeResult =
  | {readonly kind: 'committed'; readonly change: types.MapChange}
  | {
      readonly kind: 'aborted';
      readonly change: types.MapChange | null;
      readonly reason: string;
    }
  /** Decided, but not acknowledged by all ranks; the others will ask. */
  | {readonly kind: 'spreading'; readonly change: types.MapChange}
  /** Another leader has a higher fence. */
  | {readonly kind: 'superseded'}
  /** A rank that may know the outcome is silent. */
  | {readonly kind: 'blocked'};

export interface CoordinatorSettings {
  /** Time from the current step to the switch. */
  readonly leadMs: number;
  /** Pause between attempts to deliver the outcome. */
  readonly retryMs: number;
  readonly maxAttempts: number;
}

export const DEFAULT_COORDINATOR_SETTINGS: CoordinatorSettings = {
  leadMs: 150,
  retryMs: 50,
  maxAttempts: 40,
};

/** Added to the steps that run in `leadMs`. */
const EXTRA_STEPS = 4;
const MIN_STEP_MS = 0.5;

export class MapChangeCoordinator {
  constructor(
    private readonly links: readonly RankLink[],
    private readonly log: Log,
    private readonly settings = DEFAULT_COORDINATOR_SETTINGS,
  ) {}

  /** Changes the group's map from its current version to `map`. */
  async change(
    fence: types.Fence,
    map: types.ExpertMap,
  ): Promise<ChangeResult> {
    const before = await this.queryAll(null, fence);
    const ready = allAccepted(before);
    if (ready === undefined) {
      return this.incompleteResult(before);
    }
    const first = ready[0]!;
    const versions = new Set(ready.map(answer => answer.version));
    const generations = new Set(ready.map(answer => answer.generation));
    if (versions.size > 1 || generations.size > 1 || first.version === null) {
      return {kind: 'aborted', change: null, reason: 'ranks differ'};
    }
    const draft: types.MapChange = {
      id: randomUUID(),
      generation: first.generation,
      from: first.version,
      step: 0,
      map,
    };
    this.log.event('mapChangeStarted', {
      change: draft.id,
      version: map.version,
    });
    const staged = await this.sendAll(link => link.stage(draft, fence));
    if (allAccepted(staged) === undefined) {
      return {kind: 'aborted', change: null, reason: 'not staged'};
    }
    return this.armAndDecide(fence, draft);
  }

  /**
   * Gives a re-formed group one map before its first step. `choose` gets the
   * version that a rank has taken already, or null.
   */
  async form(
    fence: types.Fence,
    choose: (version: number | null) => types.ExpertMap,
  ): Promise<ChangeResult> {
    const answers = await this.queryAll(null, fence);
    const ready = allAccepted(answers);
    if (ready === undefined) {
      return this.incompleteResult(answers);
    }
    const taken = ready.flatMap(answer => answer.version ?? []);
    const generations = new Set(ready.map(answer => answer.generation));
    if (generations.size > 1 || new Set(taken).size > 1) {
      return {kind: 'aborted', change: null, reason: 'ranks differ'};
    }
    const change: types.MapChange = {
      id: randomUUID(),
      generation: ready[0]!.generation,
      from: 0,
      step: 0,
      map: choose(taken[0] ?? null),
    };
    this.log.event('mapChangeStarted', {change: change.id, form: true});
    return this.armAndTell(fence, change, ready);
  }

  /** Finishes a change whose leader is silent, under a higher fence. */
  async recover(
    fence: types.Fence,
    change: types.MapChange,
  ): Promise<ChangeResult> {
    const answers = await this.queryAll(change, fence);
    if (isSuperseded(answers)) {
      return {kind: 'superseded'};
    }
    const states = answers.map(answer => answer?.answer?.state);
    if (states.includes('committed')) {
      return this.broadcastOutcome('commit', change, fence);
    }
    if (states.includes('aborted')) {
      return this.broadcastOutcome('abort', change, fence);
    }
    const isFenced = answers.some(
      answer => answer?.refusal === null && answer.answer?.state === 'none',
    );
    if (isFenced) {
      return this.broadcastOutcome('abort', change, fence);
    }
    if (states.every(state => state === 'armed')) {
      return this.broadcastOutcome('commit', change, fence);
    }
    return {kind: 'blocked'};
  }

  /** The outcome, if a rank knows it. Raises no fence. */
  async findOutcome(
    change: types.MapChange,
  ): Promise<'committed' | 'aborted' | undefined> {
    const answers = await this.queryAll(change, null);
    const states = answers.map(answer => answer?.answer?.state);
    if (states.includes('committed')) {
      return 'committed';
    }
    return states.includes('aborted') ? 'aborted' : undefined;
  }

  /** The highest fence that any rank has promised to obey. */
  async highestFence(): Promise<types.Fence> {
    const answers = await this.queryAll(null, null);
    return answers.reduce<types.Fence>((highest, answer) => {
      const fence = answer?.answer?.fence ?? types.NO_FENCE;
      return types.compareFences(fence, highest) > 0 ? fence : highest;
    }, types.NO_FENCE);
  }

  private async armAndDecide(
    fence: types.Fence,
    draft: types.MapChange,
  ): Promise<ChangeResult> {
    const answers = allAccepted(await this.queryAll(null, fence));
    if (answers === undefined) {
      return {kind: 'aborted', change: null, reason: 'a rank is silent'};
    }
    const change = {...draft, step: this.switchStep(answers)};
    return this.armAndTell(fence, change, answers);
  }

  private async armAndTell(
    fence: types.Fence,
    change: types.MapChange,
    answers: readonly types.RankAnswer[],
  ): Promise<ChangeResult> {
    const armed = await Promise.all(
      this.links.map((link, at) =>
        link.arm(change, fence, answers[at]!.incarnation),
      ),
    );
    if (allAccepted(armed) !== undefined) {
      return this.broadcastOutcome('commit', change, fence);
    }
    const reasons = armed.map(answer => answer?.refusal ?? 'silent');
    this.log.event('mapChangeAborted', {change: change.id, reasons});
    return this.broadcastOutcome('abort', change, fence);
  }

  private switchStep(answers: readonly types.RankAnswer[]): number {
    const step = Math.max(...answers.map(answer => answer.step));
    const stepMs = Math.max(
      MIN_STEP_MS,
      ...answers.map(answer => answer.stepMs),
    );
    return step + Math.ceil(this.settings.leadMs / stepMs) + EXTRA_STEPS;
  }

  /** Sends the outcome until all ranks acknowledge it or attempts run out. */
  private async broadcastOutcome(
    outcome: 'commit' | 'abort',
    change: types.MapChange,
    fence: types.Fence,
  ): Promise<ChangeResult> {
    let pending = [...this.links];
    for (let attempt = 0; attempt < this.settings.maxAttempts; attempt += 1) {
      const answers = await Promise.all(
        pending.map(link => link[outcome](change, fence)),
      );
      if (isSuperseded(answers)) {
        return {kind: 'superseded'};
      }
      pending = pending.filter((_, at) => answers[at]?.refusal !== null);
      if (pending.length === 0) {
        return this.completedResult(outcome, change);
      }
      await new Promise(resolve => setTimeout(resolve, this.settings.retryMs));
    }
    return {kind: 'spreading', change};
  }

  private completedResult(
    outcome: 'commit' | 'abort',
    change: types.MapChange,
  ): ChangeResult {
    if (outcome === 'commit') {
      const {version} = change.map;
      this.log.event('mapChangeCommitted', {change: change.id, version});
      return {kind: 'committed', change};
    }
    return {kind: 'aborted', change, reason: 'a rank did not arm'};
  }

  private incompleteResult(answers: readonly LinkAnswer[]): ChangeResult {
    return isSuperseded(answers)
      ? {kind: 'superseded'}
      : {kind: 'aborted', change: null, reason: 'a rank is silent'};
  }

  private queryAll(
    change: types.MapChange | null,
    fence: types.Fence | null,
  ): Promise<LinkAnswer[]> {
    return this.sendAll(link => link.query(change, fence));
  }

  private sendAll(
    send: (link: RankLink) => Promise<LinkAnswer>,
  ): Promise<LinkAnswer[]> {
    return Promise.all(this.links.map(send));
  }
}

/** The ranks' answers; undefined unless all accepted. */
function allAccepted(
  answers: readonly LinkAnswer[],
): types.RankAnswer[] | undefined {
  const accepted = answers.flatMap(answer =>
    answer !== undefined && answer.refusal === null && answer.answer !== null
      ? [answer.answer]
      : [],
  );
  return accepted.length === answers.length ? accepted : undefined;
}

function isSuperseded(answers: readonly LinkAnswer[]): boolean {
  return answers.some(answer => answer?.refusal === 'old-fence');
}
