/** A caller's request while it is served; it is answered at most once. */
import type * as http from 'node:http';
import type {Ticket} from '../admission/admittee';
import type {OpenRequest} from '../crashes/open-requests';
import * as closing from '../http/closing';
import * as readingTurns from '../http/reading-turns';
import type {Timing} from '../observability/metrics';
import type {Route} from '../routes/types';
import type {ForwarderContext} from './forwarder';
import {EventGaps} from './event-gaps';
import {HeldAnswer} from './held-answer';
import {HeldBody} from '../http/held-body';
import type {CutKind} from '../http/held-bytes';
import type {RetryReservation} from './retry-budget';
import type {ResponseHead, Refusal, RequestHead, Target} from './types';

/** Metric label of requests without a client account. */
const NO_ACCOUNT = 'none';

export class Call {
  head: RequestHead | undefined;
  /** Undefined before it is known. */
  route: Route | undefined;
  /** Monotonic time in milliseconds. */
  deadline = Infinity;
  /** Sends to any target so far. */
  sendCount = 0;
  /** Sends that may have run. */
  possibleRunCount = 0;
  /** Sends whose connection broke before the response was complete. */
  lossCount = 0;
  isLikelyRetry = false;
  /** Wait before the next send, as log fields; undefined: none. */
  lastWait: object | undefined;
  lastTargetId = '';
  /** Reserved for the next send; undefined: that is not a retry. */
  retry: RetryReservation | undefined;
  /** Undefined before the request was read. */
  tracked: OpenRequest | undefined;
  /** Resolves true if the last send, which was lost, may be repeated. */
  lossCheck: Promise<boolean> | undefined;
  readonly heldBody: HeldBody;
  readonly heldAnswer: HeldAnswer;
  private readonly abortController = new AbortController();
  private isAnswered = false;
  private hasCallerLeft = false;
  private wasGivenUp = false;
  /** Monotonic time; undefined: not sent yet. */
  private firstSentAt: number | undefined;
  /** A target's answer was handed over whole. */
  private isServed = false;
  /** True if the caller was cut off because it read too slowly. */
  private isCut = false;
  /** Milliseconds until the first event; undefined: none yet. */
  private firstEventMs: number | undefined;
  private lastEventAt = 0;
  /** Longest time between two events. */
  private longestPauseMs = 0;
  /** When the longest pause ended, in milliseconds since the start. */
  private longestPauseEndMs = 0;
  private account = NO_ACCOUNT;
  private readonly gaps = new EventGaps();
  /** Place of the send in progress; undefined: none. */
  private place: Ticket | undefined;

  constructor(
    readonly req: http.IncomingMessage,
    readonly res: http.ServerResponse,
    private readonly context: ForwarderContext,
    private readonly shouldCloseConnection: () => boolean,
    /** Monotonic time of its arrival, in milliseconds. */
    readonly startedAt = performance.now(),
  ) {
    const {held} = context;
    this.heldBody = new HeldBody(held, this.noteCut);
    this.heldAnswer = new HeldAnswer(res, held, this.noteCut);
    res.once('close', () => {
      if (!res.writableFinished) {
        this.hasCallerLeft = true;
        this.abortController.abort();
      }
    });
    res.on('drain', () => this.gaps.interrupt());
  }

  /** True once the response head was written. */
  get hasSentHead(): boolean {
    return this.res.headersSent;
  }

  /** Aborted when the caller disconnects or the process gives the call up. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  get isCallerGone(): boolean {
    return this.hasCallerLeft;
  }

  /** True if the process, which is stopping, gave the call up. */
  get isGivenUp(): boolean {
    return this.wasGivenUp;
  }

  /** True if a target works on it or its answer is being delivered. */
  get isBeingServed(): boolean {
    return this.place !== undefined || this.isAnswered;
  }

  /** True if a stop leaves too little time to send it to a target. */
  get isTooLate(): boolean {
    const {route, hasSentHead, timeLeftMs} = this;
    // A stream that has begun can't be refused any more.
    return (
      route !== undefined &&
      !hasSentHead &&
      !this.context.stopDeadline.canAnswer(
        route.name,
        timeLeftMs,
        performance.now(),
      )
    );
  }

  /** Milliseconds from the first send to now; undefined: no target answered. */
  get servedMs(): number | undefined {
    return this.isServed && this.firstSentAt !== undefined
      ? performance.now() - this.firstSentAt
      : undefined;
  }

  /** Milliseconds since the first send; undefined: no target has it. */
  get underWayMs(): number | undefined {
    return this.place !== undefined && this.firstSentAt !== undefined
      ? performance.now() - this.firstSentAt
      : undefined;
  }

  get timeLeftMs(): number {
    return this.deadline - performance.now();
  }

  /** Time until the caller's own deadline; the route's may be earlier. */
  get callerTimeLeftMs(): number {
    const allowedMs = this.head?.timeLeftMs;
    return allowedMs === undefined
      ? this.timeLeftMs
      : this.startedAt + allowedMs - performance.now();
  }

  setRoute(route: Route, account: string | undefined, timeMs: number): void {
    this.route = route;
    this.account = account ?? NO_ACCOUNT;
    this.deadline = this.startedAt + timeMs;
  }

  /** Records that this request's bytes were cut off. */
  readonly noteCut = (of: CutKind, bytes: number, ms: number): void => {
    const {log, metrics} = this.context;
    this.isCut ||= of === 'answer';
    metrics.count('slow_reader_cuts_total', {of});
    log.event('slowReaderCut', {
      request: this.head?.id,
      account: this.account,
      of,
      bytes,
      ms: Math.round(ms),
    });
  };

  /** Ends a call that a stop leaves no time for, with an answer if possible. */
  giveUp(): void {
    this.wasGivenUp = true;
    this.heldBody.stopUpload();
    this.abortController.abort();
  }

  noteOutcome(mayHaveRun: boolean): void {
    this.possibleRunCount += mayHaveRun ? 1 : 0;
  }

  /** Answers with an error response of the entry. */
  refuse(refusal: Refusal): void {
    if (this.isAnswered || this.isCallerGone) {
      this.end('caller-left');
      return;
    }
    this.isAnswered = true;
    const response = this.context.wire.refusalHead(refusal, this.head?.id);
    const body = Buffer.from(JSON.stringify(bodyOf(refusal)));
    // The rest of its body is of no use.
    const mustClose =
      refusal.kind === 'too-large' || refusal.kind === 'upload-timed-out';
    this.res.writeHead(response.status, [
      ...response.headers,
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
      ...this.connectionHeaders(mustClose),
    ]);
    if (mustClose || this.shouldCloseConnection()) {
      closing.endAfterRequest(this.req, this.res, body);
    } else {
      readingTurns.dropBody(this.req);
      this.res.end(body);
    }
    this.end('why' in refusal ? refusal.why : refusal.kind, response.status);
  }

  /** Answers a request whose handler failed, unless an answer has begun. */
  refuseAfterFault(): void {
    if (!this.hasSentHead) {
      this.isAnswered = false;
      this.refuse({kind: 'failed', why: 'broken-answer'});
    }
  }

  /** Passes on a target's complete response. */
  forwardResponse(head: ResponseHead, body: Buffer): void {
    if (this.isAnswered || this.isCallerGone) {
      this.end('caller-left');
      return;
    }
    this.isAnswered = true;
    this.res.writeHead(head.status, [
      ...withoutLength(head.passedHeaders),
      'Content-Length',
      String(body.length),
      ...this.connectionHeaders(false),
    ]);
    this.res.end(body);
    this.heldAnswer.noteGiven(body.length);
    this.end('answered', head.status);
  }

  /** Writes the head of a stream's response. */
  beginStream(head: ResponseHead): void {
    this.isAnswered = true;
    this.recordTiming('first_token');
    this.res.writeHead(head.status, [
      ...withoutLength(head.passedHeaders),
      ...this.connectionHeaders(false),
    ]);
  }

  /** Records the arrival of stream events from a target. */
  noteEvents(target: Target): void {
    const now = performance.now();
    const from = this.gaps.next(this.sendCount, now);
    const isLimited = target.group !== undefined && this.route?.pauseMs !== 0;
    if (from !== undefined && isLimited) {
      this.context.views.notePass(target, from, now);
    }
    if (this.firstEventMs === undefined) {
      this.firstEventMs = now - this.startedAt;
    } else if (now - this.lastEventAt > this.longestPauseMs) {
      this.longestPauseMs = now - this.lastEventAt;
      this.longestPauseEndMs = now - this.startedAt;
    }
    this.lastEventAt = now;
    this.tracked?.noteEvents(now);
  }

  /** Records the end in log and metrics. */
  end(reason: string, status?: number): void {
    const {log, metrics} = this.context;
    const outcome = this.isCut ? 'slow-reader' : reason;
    this.isServed = outcome === 'answered';
    const ms = Math.round(performance.now() - this.startedAt);
    const late = this.lateness(ms);
    metrics.count('requests_total', {outcome});
    this.recordTiming('whole');
    if (late !== undefined) {
      metrics.count('late_total', {late, outcome});
    }
    log.event('requestEnded', {
      request: this.head?.id,
      route: this.route?.name,
      outcome,
      status,
      target: this.lastTargetId,
      sends: this.sendCount,
      ms,
      late,
      ...this.streamTimes(),
    });
  }

  /** Which objective of its route the response missed; undefined: none. */
  private lateness(wholeMs: number): 'first-event' | 'pause' | undefined {
    const {route} = this;
    if (route === undefined || route.latencyObjectiveMs === 0) {
      return undefined;
    }
    const firstMs =
      route.kind === 'stream' ? (this.firstEventMs ?? 0) : wholeMs;
    if (firstMs > route.latencyObjectiveMs) {
      return 'first-event';
    }
    const isPaused = route.pauseMs > 0 && this.longestPauseMs > route.pauseMs;
    return isPaused ? 'pause' : undefined;
  }

  private streamTimes(): object {
    return this.firstEventMs === undefined
      ? {}
      : {
          firstMs: Math.round(this.firstEventMs),
          pauseMs: Math.round(this.longestPauseMs),
          pauseEndMs: Math.round(this.longestPauseEndMs),
        };
  }

  /** Holds the place of a send until it ends. */
  holdPlace(place: Ticket): void {
    this.place = place;
    this.firstSentAt ??= performance.now();
  }

  /** The send has ended; `isServed`: its duration counts for predictions. */
  releasePlace(isServed: boolean): void {
    this.place?.release(isServed);
    this.place = undefined;
  }

  /** Closes the connection if nothing was answered, and frees the bodies. */
  close(): void {
    this.releasePlace(false);
    this.tracked?.close();
    this.retry?.release();
    this.heldBody.release();
    this.heldAnswer.discard();
    if (!this.res.headersSent && !this.isCallerGone) {
      closing.closeConnectionOf(this.res);
    }
  }

  /** Records that the process ends before the caller has the whole answer. */
  noteCutAtClose(): void {
    this.context.metrics.count('stop_cuts_total', {});
    this.context.log.event('requestCut', {
      request: this.head?.id,
      route: this.route?.name,
      account: this.account,
      target: this.lastTargetId,
      sends: this.sendCount,
      isAnswered: this.isAnswered,
      unread: this.res.writableLength,
      ms: Math.round(performance.now() - this.startedAt),
    });
  }

  /** Records the time since the start, by client account and kind of route. */
  private recordTiming(timing: Timing): void {
    const ms = performance.now() - this.startedAt;
    const kind = this.route?.kind ?? 'no-route';
    this.context.metrics.recordDuration(timing, this.account, kind, ms);
  }

  private connectionHeaders(mustClose: boolean): string[] {
    return mustClose || this.shouldCloseConnection()
      ? ['Connection', 'close']
      : [];
  }
}

function bodyOf(refusal: Refusal): object {
  return {error: refusal};
}

function withoutLength(raw: readonly string[]): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]!.toLowerCase() !== 'content-length') {
      kept.push(raw[at]!, raw[at + 1]!);
    }
  }
  return kept;
}
