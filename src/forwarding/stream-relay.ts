/**
 * Relays event streams. Only complete events are passed on, so that a broken
 * stream can resume at another target after the last one, within the same
 * response to the caller.
 */
import {BodyReader} from '../http/body-reader';
import * as resets from '../http/resets';
import {shouldMove} from './slow-ranks';
import type {Call} from './call';
import {EventSplitter} from './event-splitter';
import * as exchanges from './exchange';
import type {TriedTargets} from './outcomes';
import {Relay} from './relay';
import type {RelayedRequest} from './relayed-request';
import {StreamBuffer} from './stream-buffer';
import type {Target} from './types';
import {isRetrySafe} from './types';

type StreamingOutcome = Extract<exchanges.Outcome, {kind: 'streaming'}>;

/** How forwarding a target's events ended. */
type PumpResult =
  'done' | 'broken' | 'caller-left' | 'given-up' | 'timed-out' | 'moved';

export class StreamRelay extends Relay {
  async relay(call: Call, request: RelayedRequest): Promise<void> {
    const tried: TriedTargets = new Map();
    let last: exchanges.Outcome | undefined;
    const splitter = new EventSplitter();
    const buffer = new StreamBuffer(call.res, this.context.held, call.noteCut);
    let hasBegun = false;
    for (;;) {
      const mayWait = hasBegun || call.isLikelyRetry;
      const found = await this.findTarget(call, request, tried, mayWait);
      if (!found.ok) {
        await this.cutOrRefuse(call, buffer, hasBegun, () =>
          this.refuseUnsent(call, found.error, last),
        );
        return;
      }
      const target = found.value;
      splitter.discardPartial();
      const outcome = await this.send(
        call,
        request,
        target,
        hasBegun ? splitter.lastId : undefined,
      );
      this.noteTried(tried, target, outcome);
      last = outcome;
      if (outcome.kind === 'streaming') {
        const begin = () => {
          if (!hasBegun) {
            hasBegun = true;
            call.beginStream(outcome.head);
          }
        };
        const shouldMoveNow = () =>
          this.isOnSlowRank(target) &&
          this.hasOtherTarget(request, tried) &&
          canResume(request, hasBegun, splitter) &&
          this.tryReserveRetry(call, request, target);
        const end = await this.pump(
          call,
          outcome,
          target,
          splitter,
          buffer,
          begin,
          shouldMoveNow,
        );
        if (end === 'moved' && !call.isCallerGone) {
          continue;
        }
        if (end === 'done') {
          this.context.crashes.noteServed(call.tracked!);
          await this.deliver(call, buffer, outcome.head.status);
          return;
        }
        if (end === 'caller-left' || call.isCallerGone) {
          call.end('caller-left');
          return;
        }
        if (end === 'given-up') {
          await this.cutOrRefuse(call, buffer, hasBegun, () =>
            this.refuseSent(call),
          );
          return;
        }
        if (end === 'timed-out') {
          await this.cutOrRefuse(call, buffer, hasBegun, () =>
            call.refuse({kind: 'timed-out'}),
          );
          return;
        }
        this.noteLost(call, target);
        if (
          canResume(request, hasBegun, splitter) &&
          (await this.reserveRetry(call, request, target))
        ) {
          continue;
        }
        await this.cutOrRefuse(call, buffer, hasBegun, () =>
          call.refuse({kind: 'failed', why: 'broken-answer'}),
        );
        return;
      }
      if (call.isCallerGone) {
        call.end('caller-left');
        return;
      }
      if (await this.mayRetry(call, request, target, outcome)) {
        continue;
      }
      await this.cutOrRefuse(call, buffer, hasBegun, () =>
        this.finish(call, request, target, outcome),
      );
      return;
    }
  }

  private isOnSlowRank(target: Target): boolean {
    const now = performance.now();
    const view = this.context.views.viewOf(target, now);
    return view !== undefined && shouldMove(view, target.rank, target.slots);
  }

  /**
   * True if an untried target may be sent to now: without one, a stream that
   * moves would be cut.
   */
  private hasOtherTarget(
    request: RelayedRequest,
    tried: TriedTargets,
  ): boolean {
    return this.context.targets
      .ofService(request.service, performance.now())
      .some(({lifetime}) => !tried.has(lifetime));
  }

  /** Waits until the caller has taken what its target has sent. */
  private async deliver(
    call: Call,
    buffer: StreamBuffer,
    status: number,
  ): Promise<void> {
    const delivery = await buffer.whenDelivered(call.timeLeftMs);
    if (delivery === 'delivered') {
      call.end('answered', status);
    } else if (delivery === 'caller-left') {
      call.end('caller-left');
    } else {
      call.res.destroy();
      call.end('stream-cut');
    }
  }

  /**
   * A started stream can't be refused any more, so its connection is cut, once
   * the caller has the events that it can resume after.
   */
  private async cutOrRefuse(
    call: Call,
    buffer: StreamBuffer,
    hasBegun: boolean,
    refuse: () => void,
  ): Promise<void> {
    if (hasBegun) {
      await buffer.whenEmpty(call.timeLeftMs);
      call.res.destroy();
      call.end('stream-cut');
    } else {
      refuse();
    }
  }

  private async pump(
    call: Call,
    from: StreamingOutcome,
    target: Target,
    splitter: EventSplitter,
    buffer: StreamBuffer,
    begin: () => void,
    shouldMoveNow: () => boolean,
  ): Promise<PumpResult> {
    let isTimedOut = false;
    let isMoved = false;
    const reader = new BodyReader(from.res);
    const giveUp = () => {
      reader.interrupt();
      from.res.destroy();
      buffer.interrupt();
    };
    const moves = this.context.views.updates.subscribe(() => {
      if (!isMoved && !from.res.complete && shouldMoveNow()) {
        isMoved = true;
        giveUp();
        this.context.log.event('streamMoved', {
          request: call.head?.id,
          target: target.id,
          events: splitter.count,
        });
      }
    });
    const timer = setTimeout(() => {
      isTimedOut = true;
      giveUp();
    }, call.timeLeftMs);
    call.signal.addEventListener('abort', giveUp, {once: true});
    let end: PumpResult = 'broken';
    try {
      for (;;) {
        const chunk = await reader.next();
        if (chunk === undefined) {
          break;
        }
        const events = splitter.push(chunk);
        if (splitter.isTooLong) {
          break;
        }
        if (events.length > 0) {
          begin();
          call.noteEvents(target);
          await buffer.write(events);
        }
      }
      if (isComplete(from, splitter) && !call.isCallerGone) {
        begin();
        buffer.end(splitter.partial);
        end = 'done';
      }
    } catch (err) {
      if (!isMoved && !call.isGivenUp) {
        this.context.log.event('streamBroken', {
          request: call.head?.id,
          target: target.id,
          events: splitter.count,
          error: (err as Error).message,
        });
      }
    } finally {
      clearTimeout(timer);
      moves.unsubscribe();
      call.signal.removeEventListener('abort', giveUp);
      reader.close();
      from.res.destroy();
      this.context.balancer.end(
        target,
        end === 'broken' && !isTimedOut && !isMoved && !call.signal.aborted
          ? 1
          : 0,
        performance.now(),
      );
      call.releasePlace(end === 'done');
    }
    if (call.isCallerGone) {
      return 'caller-left';
    }
    if (call.isGivenUp && end !== 'done') {
      return 'given-up';
    }
    if (isMoved) {
      return 'moved';
    }
    return isTimedOut ? 'timed-out' : end;
  }
}

/** True if the stream can begin, or go on, at another target. */
function canResume(
  {route}: RelayedRequest,
  hasBegun: boolean,
  splitter: EventSplitter,
): boolean {
  const hasResumePoint = !hasBegun || splitter.lastId !== undefined;
  return hasResumePoint && isRetrySafe(route);
}

/**
 * True if the target ended the stream. If only the end of the connection marks
 * the end, an incomplete last event, or none at all, shows that the stream broke off.
 */
function isComplete(from: StreamingOutcome, splitter: EventSplitter): boolean {
  const isTruncated = splitter.partial.length > 0 || splitter.count === 0;
  return resets.isComplete(from.res) && !(from.head.isUnframed && isTruncated);
}
