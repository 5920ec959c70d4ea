/**
 * Elects the planner of a group by conditional writes to one object in the
 * store, whose revision is the planner's term. The planner's readings serve as
 * heartbeats for the other members, which access the store only when these
 * stop, in the order of their ranks.
 */
import * as v from 'valibot';
import {Log} from '../observability/log';
import type {ObjectApi} from '../platform/client';
import * as random from '../random';

const CHECK_INTERVAL_MS = 80;
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 4_000;
/** Time for a planner that has just been elected to make its first reading. */
const NEW_PLANNER_GRACE_MS = 150;
/** Lets other members be elected first after this one has stepped down. */
const STEP_DOWN_COOLDOWN_MS = 900;

const plannerRecordSchema = v.object({
  holder: v.string(),
  /** Unique to one run of the holder's process. */
  life: v.string(),
  /** Rank of the holder. */
  rank: v.number(),
});
/** Rank in the record while there is no planner. */
const NO_RANK = -1;

type PlannerRecord = v.InferOutput<typeof plannerRecordSchema>;

/** The election's view of the member that runs it. */
export abstract class ElectionContext {
  /** Highest term of a planner heard so far. */
  abstract heardTerm(): number;
  abstract isPlannerHeard(): boolean;
  /** True if most of the members asked answer and none hears a planner. */
  abstract canBecomePlanner(): Promise<boolean>;
  /** Head start of the members with lower ranks, in milliseconds. */
  abstract electionDelayMs(): number;
  /** This member has become the planner; the others should hear of it soon. */
  abstract onElected(): void;
}

export class PlannerElection {
  /** Term of this process as the planner; 0: it is not the planner. */
  term = 0;
  /** Rank of the previous planner; undefined: unknown. */
  previousRank: number | undefined;
  /** Last term that this process stepped down from, and does not resume. */
  private lostTerm = 0;
  private lastSeenVersion = 0;
  private cooldownUntil = 0;
  private isClosed = false;
  /** Start of the time without a planner; undefined: one is heard. */
  private plannerMissedAt: number | undefined;
  private backoffMs = MIN_BACKOFF_MS;

  constructor(
    readonly key: string,
    private readonly ownRecord: PlannerRecord,
    private readonly context: ElectionContext,
    private readonly store: ObjectApi,
    private readonly log: Log,
  ) {}

  /** Runs until closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const pauseMs = await this.check();
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }

  /** Gives up the planner's role, and pauses before the next election. */
  stepDown(): void {
    if (this.term !== 0) {
      this.log.event('seatLost', {seat: this.key, term: this.term});
      this.lostTerm = this.term;
      this.term = 0;
      this.cooldownUntil = performance.now() + STEP_DOWN_COOLDOWN_MS;
    }
  }

  /** Clears the record if this process is the planner, and stops. */
  async close(): Promise<void> {
    this.isClosed = true;
    const {term} = this;
    this.term = 0;
    if (term !== 0) {
      const empty: PlannerRecord = {holder: '', life: '', rank: NO_RANK};
      const put = await this.store.put(this.key, empty, term);
      this.log.event('seatReleased', {seat: this.key, term, ok: put.ok});
    }
  }

  /** Returns the pause before the next check, in milliseconds. */
  private async check(): Promise<number> {
    const now = performance.now();
    const isCoolingDown = now < this.cooldownUntil;
    if (this.term !== 0 || isCoolingDown || this.context.isPlannerHeard()) {
      this.plannerMissedAt = undefined;
      this.backoffMs = MIN_BACKOFF_MS;
      return random.jitter(CHECK_INTERVAL_MS);
    }
    this.plannerMissedAt ??= now;
    const delayMs = this.plannerMissedAt + this.context.electionDelayMs() - now;
    if (delayMs > 0) {
      return Math.min(delayMs, CHECK_INTERVAL_MS);
    }
    return (await this.context.canBecomePlanner())
      ? this.acquire()
      : this.nextBackoffMs();
  }

  private nextBackoffMs(): number {
    const pauseMs = this.backoffMs;
    this.backoffMs = Math.min(pauseMs * 2, MAX_BACKOFF_MS);
    return random.jitter(pauseMs);
  }

  /** Tries to become the planner; returns the pause before the next check. */
  private async acquire(): Promise<number> {
    const read = await this.store.get(this.key);
    if (!read.ok) {
      return this.nextBackoffMs();
    }
    const version = read.value?.version ?? 0;
    const parsed = v.safeParse(plannerRecordSchema, read.value?.value);
    const isOwn = parsed.success && parsed.output.life === this.ownRecord.life;
    if (isOwn && version > this.lostTerm) {
      // An earlier write took effect although its answer was lost.
      this.becomePlanner(version);
      return CHECK_INTERVAL_MS;
    }
    this.previousRank = parsed.success ? parsed.output.rank : undefined;
    if (
      version > this.context.heardTerm() &&
      version !== this.lastSeenVersion
    ) {
      // Another member has just been elected and will soon be heard.
      this.lastSeenVersion = version;
      return NEW_PLANNER_GRACE_MS;
    }
    if (this.context.isPlannerHeard()) {
      return CHECK_INTERVAL_MS;
    }
    const put = await this.store.put(this.key, this.ownRecord, version);
    if (put.ok) {
      this.becomePlanner(put.value);
    }
    return put.ok ? CHECK_INTERVAL_MS : this.nextBackoffMs();
  }

  private becomePlanner(term: number): void {
    if (!this.isClosed) {
      this.term = term;
      this.context.onElected();
      this.log.event('seatTaken', {seat: this.key, term});
    }
  }
}
