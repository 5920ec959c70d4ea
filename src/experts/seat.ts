/**
 * Who plans for a group: one object in the store, changed by conditional
 * writes. Its revision is the planner's term, so that a later planner always
 * has a higher one. The others ask the holder whether it lives, not the store.
 */
import {Log} from '../observability/log';
import type {ObjectApi} from '../platform/client';
import * as random from '../random';
import type {RpcClient} from '../rpc/client';
import * as v from 'valibot';
import * as app from './app';

/** Milliseconds between questions to the holder. */
const PING_MS = 250;
/** Longest wait for its answer. */
const PING_TIMEOUT_MS = 250;
/** Answers in a row that must fail to come before the seat is taken. */
const MISSES = 3;
/** Head start of the others for a seat that was just lost. */
const AFTER_LOSS_PAUSE_MS = 700;
/** Pause after the store did not answer. */
const STORE_PAUSE_MS = 400;

const seatSchema = v.object({
  holder: v.string(),
  address: v.string(),
  /** Names one life of the holder. */
  life: v.string(),
});
type SeatValue = v.InferOutput<typeof seatSchema>;

/** Who takes part in planning. */
export interface Candidate {
  readonly id: string;
  readonly address: string;
  readonly life: string;
}

export class Seat {
  /** The term while this process holds the seat; 0: it does not. */
  term = 0;
  private known: {value: SeatValue; version: number} | undefined;
  /** A term that was lost is not taken up again. */
  private lostTerm = 0;
  private isFirstLook = false;
  private misses = 0;
  private isClosed = false;

  constructor(
    readonly key: string,
    private readonly own: Candidate,
    private readonly store: ObjectApi,
    private readonly rpc: RpcClient,
    private readonly log: Log,
  ) {}

  /** Watches over the seat until closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const pauseMs = await this.step();
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }

  /** A rank has heard of a newer planner. */
  lose(): void {
    if (this.term !== 0) {
      this.log.event('seatLost', {seat: this.key, term: this.term});
      this.lostTerm = this.term;
      this.isFirstLook = true;
      this.term = 0;
      this.known = undefined;
      this.misses = MISSES;
    }
  }

  /** Gives the seat up, so that another takes it at once. */
  async close(): Promise<void> {
    this.isClosed = true;
    const {term} = this;
    this.term = 0;
    if (term !== 0) {
      const empty: SeatValue = {holder: '', address: '', life: ''};
      const put = await this.store.put(this.key, empty, term);
      this.log.event('seatReleased', {seat: this.key, term, ok: put.ok});
    }
  }

  private async step(): Promise<number> {
    if (this.term !== 0) {
      return PING_MS;
    }
    if (this.known !== undefined && this.known.value.address !== '') {
      if (await this.hearsHolder(this.known.value.address)) {
        this.misses = 0;
        return random.jitter(PING_MS);
      }
      this.misses += 1;
      if (this.misses < MISSES) {
        return PING_MS / 2;
      }
    }
    return this.look();
  }

  private async hearsHolder(address: string): Promise<boolean> {
    const answer = await this.rpc.call(
      address,
      app.ping,
      {seat: this.key},
      PING_TIMEOUT_MS,
    );
    // A holder that says that it isn't one is as good as dead.
    if (answer.ok && !answer.value.holds) {
      this.misses = MISSES;
    }
    return answer.ok && answer.value.holds;
  }

  private async look(): Promise<number> {
    const got = await this.store.get(this.key);
    if (this.isClosed) {
      return 0;
    }
    if (!got.ok) {
      return random.jitter(STORE_PAUSE_MS);
    }
    const version = got.value?.version ?? 0;
    const parsed = v.safeParse(seatSchema, got.value?.value);
    const value = parsed.success ? parsed.output : undefined;
    if (value?.life === this.own.life && version > this.lostTerm) {
      // A write whose answer was lost has taken effect.
      this.take(version);
      return PING_MS;
    }
    const isNews =
      value !== undefined &&
      value.address !== '' &&
      value.life !== this.known?.value.life;
    if (isNews) {
      this.known = {value, version};
      this.misses = 0;
      return 0;
    }
    if (version === this.lostTerm && this.isFirstLook) {
      // Somebody else goes first: this process could not finish.
      this.isFirstLook = false;
      return AFTER_LOSS_PAUSE_MS;
    }
    return this.write(version);
  }

  private async write(expected: number): Promise<number> {
    const {id, address, life} = this.own;
    const value: SeatValue = {holder: id, address, life};
    const put = await this.store.put(this.key, value, expected);
    if (put.ok && !this.isClosed) {
      this.take(put.value);
    } else if (!put.ok && put.error.kind === 'conflict') {
      return 0;
    }
    return random.jitter(PING_MS);
  }

  private take(term: number): void {
    this.term = term;
    this.misses = 0;
    this.log.event('seatTaken', {seat: this.key, term});
  }
}
