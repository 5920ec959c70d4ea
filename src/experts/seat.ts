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
const LOOK_MS = 80;
/** Pause after the store or the other members did not answer. */
const FAILED_PAUSE_MS = 500;
/** The longest such pause; it doubles while a member fails. */
const LONGEST_PAUSE_MS = 4_000;
/** Time for a new holder to be heard. */
const NEW_HOLDER_PAUSE_MS = 150;
/** Head start of the others for a seat that was just lost. */
const AFTER_LOSS_PAUSE_MS = 900;

const seatSchema = v.object({
  holder: v.string(),
  /** Names one life of the holder. */
  life: v.string(),
  /** Its own rank. */
  rank: v.number(),
});
/** Nobody holds the seat. */
const NO_RANK = -1;

type SeatValue = v.InferOutput<typeof seatSchema>;

/** What a seat asks of the member of the group that wants it. */
export abstract class SeatContext {
  /** Highest term of a planner that was heard. */
  abstract heardTerm(): number;
  /** True while a planner has been heard lately. */
  abstract isPlannerHeard(): boolean;
  /** True where most members are reached and none hears a planner. */
  abstract mayTake(): Promise<boolean>;
  /** Milliseconds that members before this one have to take the seat. */
  abstract turnMs(): number;
  /** The seat was taken: the others should hear of it soon. */
  abstract onTaken(): void;
}

export class Seat {
  /** The term while this process holds the seat; 0: it does not. */
  term = 0;
  /** Rank of the planner before this one; undefined: not known. */
  formerRank: number | undefined;
  /** A term that was lost is not taken up again. */
  private lostTerm = 0;
  private seenVersion = 0;
  private pausesUntil = 0;
  private isClosed = false;
  /** When the planner was first missed; undefined: it is heard. */
  private missedAt: number | undefined;
  private failedPauseMs = FAILED_PAUSE_MS;

  constructor(
    readonly key: string,
    private readonly own: SeatValue,
    private readonly context: SeatContext,
    private readonly store: ObjectApi,
    private readonly log: Log,
  ) {}

  /** Watches over the seat until closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const pauseMs = await this.step();
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }

  /** A rank has heard of a newer planner, or this one can't go on. */
  lose(): void {
    if (this.term !== 0) {
      this.log.event('seatLost', {seat: this.key, term: this.term});
      this.lostTerm = this.term;
      this.term = 0;
      this.pausesUntil = performance.now() + AFTER_LOSS_PAUSE_MS;
    }
  }

  /** Gives the seat up, so that another need not wait. */
  async close(): Promise<void> {
    this.isClosed = true;
    const {term} = this;
    this.term = 0;
    if (term !== 0) {
      const empty: SeatValue = {holder: '', life: '', rank: NO_RANK};
      const put = await this.store.put(this.key, empty, term);
      this.log.event('seatReleased', {seat: this.key, term, ok: put.ok});
    }
  }

  private async step(): Promise<number> {
    const now = performance.now();
    const isPausing = now < this.pausesUntil;
    if (this.term !== 0 || isPausing || this.context.isPlannerHeard()) {
      this.missedAt = undefined;
      this.failedPauseMs = FAILED_PAUSE_MS;
      return random.jitter(LOOK_MS);
    }
    this.missedAt ??= now;
    const turnIn = this.missedAt + this.context.turnMs() - now;
    if (turnIn > 0) {
      return Math.min(turnIn, LOOK_MS);
    }
    return (await this.context.mayTake()) ? this.take() : this.pauseAfterFail();
  }

  private pauseAfterFail(): number {
    const pauseMs = this.failedPauseMs;
    this.failedPauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
    return random.jitter(pauseMs);
  }

  private async take(): Promise<number> {
    const got = await this.store.get(this.key);
    if (!got.ok) {
      return this.pauseAfterFail();
    }
    const version = got.value?.version ?? 0;
    const parsed = v.safeParse(seatSchema, got.value?.value);
    const isOwn = parsed.success && parsed.output.life === this.own.life;
    if (isOwn && version > this.lostTerm) {
      // A write whose answer was lost has taken effect.
      this.hold(version);
      return LOOK_MS;
    }
    this.formerRank = parsed.success ? parsed.output.rank : undefined;
    if (version > this.context.heardTerm() && version !== this.seenVersion) {
      // Somebody else has just taken it and will soon be heard.
      this.seenVersion = version;
      return NEW_HOLDER_PAUSE_MS;
    }
    if (this.context.isPlannerHeard()) {
      return LOOK_MS;
    }
    const put = await this.store.put(this.key, this.own, version);
    if (put.ok) {
      this.hold(put.value);
    }
    return put.ok ? LOOK_MS : this.pauseAfterFail();
  }

  private hold(term: number): void {
    if (!this.isClosed) {
      this.term = term;
      this.context.onTaken();
      this.log.event('seatTaken', {seat: this.key, term});
    }
  }
}
