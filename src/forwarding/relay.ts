/** What relaying plain requests and streams has in common. */
import type {ClientAccount, Route} from '../routes/types';
import type {Call} from './call';
import * as exchanges from './exchange';
import type {ForwarderContext} from './forwarder';
import type {RetryBudget} from './retry-budget';
import * as types from './types';

/** A request that may be sent to targets. */
export interface RelayedRequest {
  readonly head: types.RequestHead;
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly service: string;
  readonly account: ClientAccount | undefined;
}

/** When to come back where no target of the service is known. */
const NO_TARGET_RETRY_MS = 300;
/**
 * When to come back where a target was full: a part of the time left, since
 * callers heed no more than a third, and no longer than a group takes to form.
 */
const RETRY_SHARE = 0.25;
const LONGEST_RETRY_MS = 1_000;
/** Least time left that makes another send worth while, in milliseconds. */
const MIN_SEND_MS = 20;

export abstract class Relay {
  constructor(
    protected readonly context: ForwarderContext,
    private readonly budgetOf: (service: string) => RetryBudget,
  ) {}

  /** Serves a request to its end. */
  abstract relay(call: Call, request: RelayedRequest): Promise<void>;

  /** A target that was not tried yet. */
  protected choose(
    request: RelayedRequest,
    tried: ReadonlySet<string>,
  ): types.Target | undefined {
    const now = performance.now();
    const {targets, loads} = this.context;
    const known = targets.ofService(request.service, now);
    return loads.choose(
      known.filter(target => !tried.has(target.id)),
      now,
    );
  }

  /** Sends once and notes how it went. */
  protected async send(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    resumeAfter?: string,
  ): Promise<exchanges.Outcome> {
    const {loads, connections, targets, wire} = this.context;
    const mayRepeat = types.isRepeatable(request.route);
    call.sends += 1;
    call.target = target.id;
    loads.begin(target.id);
    const outcome = await exchanges.exchange(wire, {
      agent: mayRepeat ? connections.kept : connections.fresh,
      target,
      head: request.head,
      body: request.body,
      to: {
        targetId: target.id,
        timeLeftMs: call.leftMs,
        account: request.account?.name,
        resumeAfter,
      },
      isStream: request.route.kind === 'stream',
      endsAt: call.endsAt,
      signal: call.signal,
    });
    if (outcome.kind === 'not-run' && outcome.status === MISDIRECTED) {
      // Another life, or another service, has the address by now.
      targets.drop(target.id);
    }
    if (outcome.kind !== 'streaming') {
      loads.end(target.id, isFailure(outcome), performance.now());
    }
    this.context.log.event('requestSent', {
      request: request.head.id,
      target: target.id,
      send: call.sends,
      inFlight: loads.inFlight(target.id),
      outcome: outcome.kind,
      ...detailsOf(outcome),
    });
    return outcome;
  }

  /** True where an outcome harms nobody who sends the request once more. */
  protected mayTryNext(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): boolean {
    const hasFailed =
      outcome.kind === 'unknown' ||
      (outcome.kind === 'answered' &&
        outcome.head.status >= FIRST_SERVER_ERROR);
    const isHarmless =
      outcome.kind === 'not-run' ||
      (hasFailed && types.isRepeatable(request.route));
    return isHarmless && this.maySendAgain(call, request, target);
  }

  /** Passes a whole answer on, or answers ourselves. */
  protected finish(call: Call, outcome: exchanges.Outcome): void {
    if (outcome.kind === 'answered') {
      call.pass(outcome.head, outcome.body);
    } else {
      this.refuse(call, outcome);
    }
  }

  /** True where the request may be sent to one more target. */
  protected maySendAgain(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
  ): boolean {
    if (call.sends >= request.route.attempts || call.leftMs < MIN_SEND_MS) {
      return false;
    }
    const isDrawn = this.budgetOf(request.service).tryDraw(performance.now());
    this.context.log.event('requestRetried', {
      request: request.head.id,
      target: target.id,
      allowed: isDrawn,
    });
    return isDrawn;
  }

  protected noTarget(service: string): types.Refusal {
    this.context.log.event('noTarget', {service});
    return {kind: 'not-run', why: 'no-target', retryMs: NO_TARGET_RETRY_MS};
  }

  /** Answers for an outcome that gave nothing to pass on. */
  private refuse(call: Call, outcome: exchanges.Outcome): void {
    switch (outcome.kind) {
      case 'not-run':
        call.refuse({
          kind: 'not-run',
          why: 'target-full',
          retryMs: retryMsOf(call),
        });
        return;
      case 'unknown':
        call.refuse({kind: 'failed', why: outcome.why});
        return;
      case 'timed-out':
        call.refuse(
          outcome.sent
            ? {kind: 'timed-out'}
            : {kind: 'not-run', why: 'timed-out', retryMs: retryMsOf(call)},
        );
        return;
      case 'answered':
      case 'streaming':
      case 'cancelled':
        call.end('caller-left');
    }
  }
}

/** The status of a target that another was meant. Source: RFC 9110. */
const MISDIRECTED = 421;

function retryMsOf(call: Call): number {
  return Math.min(Math.max(call.leftMs, 0) * RETRY_SHARE, LONGEST_RETRY_MS);
}

const FIRST_SERVER_ERROR = 500;

/** True where the outcome speaks against the target. */
function isFailure(outcome: exchanges.Outcome): boolean {
  switch (outcome.kind) {
    case 'answered':
      return outcome.head.status >= FIRST_SERVER_ERROR;
    case 'streaming':
    case 'cancelled':
      return false;
    case 'not-run':
    case 'unknown':
    case 'timed-out':
      return true;
  }
}

function detailsOf(outcome: exchanges.Outcome): object {
  switch (outcome.kind) {
    case 'answered':
    case 'streaming':
      return {status: outcome.head.status};
    case 'not-run':
      return {status: outcome.status};
    case 'unknown':
      return {why: outcome.why};
    case 'timed-out':
      return {sent: outcome.sent};
    case 'cancelled':
      return {};
  }
}
