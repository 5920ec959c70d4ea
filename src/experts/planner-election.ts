/**
 * Who plans for a group: one object in the store, changed by conditional
 * writes. Its revision is the planner's term, so that a later planner always
 * has a higher one. A planner reads every rank several times a second, which
 * tells the others that it lives; the store is asked only when it is silent,
 * and by one member after the other.
 */
import * as v from 'valibot';
import {Log} from '../observability/log';
import type {ObjectApi} from '../platform/client';
import * as random from '../random';

/** Milliseconds between looks whether a planner is heard. */
const CHECK_INTERVAL_MS = 80;
/** Pause after the store or the other members did not answer. */
const MIN_BACKOFF_MS = 500;
/** The longest such pause; it doubles while a member fails. */
const MAX_BACKOFF_MS = 4_000;
/** Time for a new holder to be heard. */
const NEW_PLANNER_GRACE_MS = 150;
/** Head start of the others for a seat that was just lost. */
const STEP_DOWN_COOLDOWN_MS = 900;

const plannerRecordSchema = v.object({
  holder: v.string(),
  /** Names one life of the holder. */
  life: v.string(),
  /** Its own rank. */
  rank: v.number(),
});
/** Nobody holds the seat. */
const NO_RANK = -1;

type PlannerRecord = v.InferOutput<typeof plannerRecordSchema>;

/** What a seat asks of the member of the group that wants it. */
export abstract class ElectionContext {
  /** Highest term of a planner that was heard. */
  abstract heardTerm(): number;
  /** True while a planner has been heard lately. */
  abstract isPlannerHeard(): boolean;
  /** True where most members are reached and none hears a planner. */
  abstract canBecomePlanner(): Promise<boolean>;
  /** Milliseconds that members before this one have to take the seat. */
  abstract electionDelayMs(): number;
  /** The seat was taken: the others should hear of it soon. */
  abstract onElected(): void;
}

export class PlannerElection {
  /** The term while this process holds the seat; 0: it does not. */
  term = 0;
  /** Rank of the planner before this one; undefined: not known. */
  previousRank: number | undefined;
  /** A term that was lost is not taken up again. */
  private lostTerm = 0;
  private lastSeenVersion = 0;
  private cooldownUntil = 0;
  private isClosed = false;
  /** When the planner was first missed; undefined: it is heard. */
  private plannerMissedAt: number | undefined;
  private backoffMs = MIN_BACKOFF_MS;

  constructor(
    readonly key: string,
    private readonly ownRecord: PlannerRecord,
    private readonly context: ElectionContext,
    private readonly store: ObjectApi,
    private readonly log: Log,
  ) {}

  /** Watches over the seat until closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const pauseMs = await this.check();
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }

  /** A rank has heard of a newer planner, or this one can't go on. */
  stepDown(): void {
    if (this.term !== 0) {
      this.log.event('seatLost', {seat: this.key, term: this.term});
      this.lostTerm = this.term;
      this.term = 0;
      this.cooldownUntil = performance.now() + STEP_DOWN_COOLDOWN_MS;
    }
  }

  /** Gives the seat up, so that another need not wait. */
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

  private async check(): Promise<number> {
    const now = performance.now();
    const isPausing = now < this.cooldownUntil;
    if (this.term !== 0 || isPausing || this.context.isPlannerHeard()) {
      this.plannerMissedAt = undefined;
      this.backoffMs = MIN_BACKOFF_MS;
      return random.jitter(CHECK_INTERVAL_MS);
    }
    this.plannerMissedAt ??= now;
    const turnIn = this.plannerMissedAt + this.context.electionDelayMs() - now;
    if (turnIn > 0) {
      return Math.min(turnIn, CHECK_INTERVAL_MS);
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

  private async acquire(): Promise<number> {
    const got = await this.store.get(this.key);
    if (!got.ok) {
      return this.nextBackoffMs();
    }
    const version = got.value?.version ?? 0;
    const parsed = v.safeParse(plannerRecordSchema, got.value?.value);
    const isOwn = parsed.success && parsed.output.life === this.ownRecord.life;
    if (isOwn && version > this.lostTerm) {
      // A write whose answer was lost has taken effect.
      this.becomePlanner(version);
      return CHECK_INTERVAL_MS;
    }
    this.previousRank = parsed.success ? parsed.output.rank : undefined;
    if (
      version > this.context.heardTerm() &&
      version !== this.lastSeenVersion
    ) {
      // Somebody else has just taken it and will soon be heard.
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
