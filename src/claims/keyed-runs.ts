/**
 * At-most-once execution of calls with a request key: decides whether a call
 * runs, waits for the run in progress, gets the stored response, or is refused.
 */
import type {SteadyClock} from '../clock';
import type {SlotManager} from './slot-manager';
import * as keys from './keys';
import * as records from './records';
import type {Owner} from './types';

/** How a run ended. */
export type RunResult =
  | {readonly kind: 'ran'; readonly answer: records.StoredResponse | null}
  | {readonly kind: 'not-run'}
  | {readonly kind: 'unknown'};

/** Why a call with a key is refused. */
export type KeyRefusal =
  /** The key has not run and never will. */
  | {readonly kind: 'key-burnt'}
  /** The key may have run and will not run again. */
  | {readonly kind: 'outcome-unknown'}
  | {readonly kind: 'key-reused'; readonly ran: boolean}
  | {readonly kind: 'key-ahead'; readonly leadMs: number}
  | {readonly kind: 'key-too-old'}
  | {readonly kind: 'not-owner'; readonly owner: Owner | null};

export type CallDecision =
  | {readonly kind: 'run'; readonly finish: (end: RunResult) => void}
  | {readonly kind: 'wait'; readonly end: Promise<RunResult>}
  | {readonly kind: 'replay'; readonly answer: records.StoredResponse | null}
  | {readonly kind: 'refuse'; readonly refusal: KeyRefusal};

/** State of a key, according to the sidecar asked. */
export type KeyState = 'not-run' | 'running' | 'ran' | 'unknown' | 'not-owner';

export interface KeyedCall {
  readonly account: string;
  readonly key: keys.RequestKey;
  readonly fingerprint: string;
}

interface ActiveRun {
  readonly slot: number;
  readonly end: Promise<RunResult>;
}

export class KeyedRuns {
  readonly records: records.KeyRecords;
  private readonly activeRuns = new Map<string, ActiveRun>();
  /**
   * Keys minted before this time are refused. It never decreases: records
   * before it may have been dropped even if the retention is lengthened later.
   */
  private oldestAccepted = 0;

  constructor(
    private readonly slotManager: SlotManager,
    private readonly clock: SteadyClock,
    private readonly slots: () => number,
    private readonly retentionMs: () => number,
    maxAnswerBytes: number,
  ) {
    this.records = new records.KeyRecords(maxAnswerBytes);
  }

  /** Decides on a call. For `run`, the key is already marked as running. */
  admit(call: KeyedCall): CallDecision {
    const refusal = this.refusalOf(call);
    if (refusal !== undefined) {
      return {kind: 'refuse', refusal};
    }
    const record = this.records.find(call.account, call.key.text);
    return record === undefined
      ? this.begin(call)
      : this.decideRepeat(call, record);
  }

  /**
   * Prevents a key from ever running, unless it has been started already.
   * Returns `not-run` only if this process can guarantee it.
   */
  burn(account: string, key: keys.RequestKey): KeyState {
    const state = this.stateOf(account, key);
    if (state !== undefined) {
      return state;
    }
    this.records.set({
      state: 'burnt',
      account,
      key: key.text,
      mintedAt: key.mintedAt,
      fingerprint: '',
    });
    return 'not-run';
  }

  /** Waits until the slot's runs in progress have ended. */
  async waitForRuns(slot: number): Promise<void> {
    const results = [...this.activeRuns.values()]
      .filter(running => running.slot === slot)
      .map(running => running.end);
    await Promise.all(results);
  }

  get runningCount(): number {
    return this.activeRuns.size;
  }

  /** Drops records of keys that are too old to be accepted. */
  evictExpired(): void {
    this.records.evictBefore(this.advanceOldestAccepted());
  }

  /** Undefined if this owner has no record of the key and may burn it. */
  private stateOf(account: string, key: keys.RequestKey): KeyState | undefined {
    const slot = keys.slotOf(key, this.slots());
    const ownership = this.slotManager.ownership(slot, key.mintedAt);
    if (this.isTooOld(key)) {
      return 'unknown';
    }
    if (ownership.kind === 'never-owned') {
      return 'not-run';
    }
    if (
      ownership.kind === 'other' &&
      this.isPreviousIncarnation(ownership.owner)
    ) {
      return 'unknown';
    }
    if (ownership.kind !== 'mine') {
      return 'not-owner';
    }
    const record = this.records.find(account, key.text);
    if (record === undefined) {
      return this.isTooFarAhead(key) ? 'unknown' : undefined;
    }
    return record.state === 'burnt' ? 'not-run' : record.state;
  }

  /**
   * True if the owner was an earlier process at this process's address. Its key
   * records are lost, so the outcomes of its keys are unknown.
   */
  private isPreviousIncarnation(owner: Owner): boolean {
    const {address, incarnation} = this.slotManager.self;
    return owner.address === address && owner.incarnation !== incarnation;
  }

  private isTooOld(key: keys.RequestKey): boolean {
    return key.mintedAt < this.advanceOldestAccepted();
  }

  private advanceOldestAccepted(): number {
    const oldest = this.clock.now() - this.retentionMs();
    this.oldestAccepted = Math.max(this.oldestAccepted, oldest);
    return this.oldestAccepted;
  }

  private isTooFarAhead(key: keys.RequestKey): boolean {
    return key.mintedAt > this.clock.now() + this.slotManager.self.leadMs;
  }

  private refusalOf(call: KeyedCall): KeyRefusal | undefined {
    if (this.isTooOld(call.key)) {
      return {kind: 'key-too-old'};
    }
    if (this.isTooFarAhead(call.key)) {
      const leadMs = call.key.mintedAt - this.clock.now();
      return {kind: 'key-ahead', leadMs};
    }
    const slot = keys.slotOf(call.key, this.slots());
    const ownership = this.slotManager.ownership(slot, call.key.mintedAt);
    switch (ownership.kind) {
      case 'mine':
        return undefined;
      case 'never-owned':
        return {kind: 'key-burnt'};
      case 'other':
        return this.isPreviousIncarnation(ownership.owner)
          ? {kind: 'outcome-unknown'}
          : {kind: 'not-owner', owner: ownership.owner};
      case 'not-yet':
      case 'surrendered':
        return {kind: 'not-owner', owner: null};
    }
  }

  private begin(call: KeyedCall): CallDecision {
    const {account, key, fingerprint} = call;
    const record = {
      account,
      key: key.text,
      mintedAt: key.mintedAt,
      fingerprint,
    };
    const runId = `${account} ${key.text}`;
    let settle!: (result: RunResult) => void;
    const end = new Promise<RunResult>(resolve => {
      settle = resolve;
    });
    const slot = keys.slotOf(key, this.slots());
    this.activeRuns.set(runId, {slot, end});
    this.records.set({...record, state: 'running'});
    const finish = (result: RunResult) => {
      if (!this.activeRuns.delete(runId)) {
        return;
      }
      this.records.set({...record, ...recordFields(result)});
      settle(result);
    };
    return {kind: 'run', finish};
  }

  private decideRepeat(
    call: KeyedCall,
    record: records.KeyRecord,
  ): CallDecision {
    if (record.state === 'burnt') {
      return {kind: 'refuse', refusal: {kind: 'key-burnt'}};
    }
    if (record.fingerprint !== call.fingerprint) {
      const ran = record.state === 'ran';
      return {kind: 'refuse', refusal: {kind: 'key-reused', ran}};
    }
    if (record.state === 'ran') {
      return {kind: 'replay', answer: record.answer};
    }
    const running = this.activeRuns.get(`${call.account} ${call.key.text}`);
    return running === undefined
      ? {kind: 'refuse', refusal: {kind: 'outcome-unknown'}}
      : {kind: 'wait', end: running.end};
  }
}

function recordFields(
  result: RunResult,
):
  | {state: 'ran'; answer: records.StoredResponse | null}
  | {state: 'burnt'}
  | {state: 'unknown'} {
  switch (result.kind) {
    case 'ran':
      return {state: 'ran', answer: result.answer};
    case 'not-run':
      return {state: 'burnt'};
    case 'unknown':
      return {state: 'unknown'};
  }
}
