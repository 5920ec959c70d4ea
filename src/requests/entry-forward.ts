/**
 * Sends a request that may be repeated to a target, and to another one while
 * the budget and the deadline allow it.
 */
import type * as http from 'node:http';
import * as body from '../http/body';
import * as httpClient from '../http/client';
import {Result, fail, ok} from '../result';
import type {Candidate, RoutedRequest} from '../routing/types';
import type {Target} from '../targets/directory';
import * as rests from '../targets/cooldown';
import * as entry from './entry-context';
import * as headers from './headers';
import * as refusals from './refusals';

/** What is sent to whichever target is chosen. */
export interface Forwarded {
  readonly method: string;
  readonly path: string;
  readonly text: Buffer | undefined;
  readonly routed: RoutedRequest;
  /** Targets that may take it; asked for again at each try. */
  readonly eligible: () => readonly Target[];
}

/** A target's answer that is no refusal. */
export interface Forwarding {
  readonly target: Target;
  readonly res: http.IncomingMessage;
  /** Must be called once the answer has ended. */
  readonly done: () => void;
}

const MAX_TRIES = 4;
/** Between halls, one way. */
const ONE_WAY_MS = 2;
const NO_TARGET_RETRY_MS = 1_000;
/** Refusals after which another target may still take the request. */
const TRY_ELSEWHERE: ReadonlySet<refusals.RefusalKind> = new Set([
  'leaving',
  'overloaded',
  'resting',
  'deadline-unreachable',
  'target-failed',
  'not-found',
]);

/** Fails with the refusal that the caller gets. */
export async function forward(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: Forwarded,
): Promise<Result<Forwarding, refusals.Refusal>> {
  const tried = new Set<string>();
  const outcomes: refusals.Outcome[] = [];
  let last: refusals.Refusal | undefined;
  context.budget.noteFirstTry();
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const target = chooseTarget(context, caller, call, tried);
    if (target === undefined) {
      break;
    }
    if (tries > 0 && !mayRetry(context, caller, last)) {
      break;
    }
    tried.add(target.id);
    const attempt = await tryTarget(context, caller, call, target);
    if (attempt.ok) {
      return attempt;
    }
    outcomes.push(attempt.error.outcome);
    // What an earlier try may have done is not undone by a later refusal.
    last = {...attempt.error, outcome: refusals.worstOutcome(outcomes)};
    if (caller.signal.aborted || !TRY_ELSEWHERE.has(last.kind)) {
      break;
    }
  }
  return fail(lastWord(context, call, last));
}

/** The refusal after all tries; where all targets rest, it tells for how long. */
function lastWord(
  context: entry.EntryContext,
  call: Forwarded,
  last: refusals.Refusal | undefined,
): refusals.Refusal {
  const restMs = context.targets.cooldownMs(call.eligible());
  if (restMs > 0 && (last === undefined || last.kind === 'resting')) {
    const {outcome} = last ?? {outcome: 'not-run' as const};
    const retryAfterMs = rests.withRetryJitter(restMs);
    const detail = 'all targets have asked for rest';
    return {kind: 'resting', outcome, detail, retryAfterMs};
  }
  return (
    last ??
    refusals.notRun('no-target', 'no target is live', NO_TARGET_RETRY_MS)
  );
}

/** A `leaving` answer cost nothing, so its hop is free of the budget. */
function mayRetry(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  last: refusals.Refusal | undefined,
): boolean {
  if (entry.timeLeft(caller) === 0) {
    return false;
  }
  if (last?.kind !== 'leaving' && !context.budget.tryDraw()) {
    return false;
  }
  context.metrics.count('retries_total');
  context.log.event('requestRetried', {
    request: caller.id,
    after: last?.kind,
  });
  return true;
}

function chooseTarget(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: Forwarded,
  tried: ReadonlySet<string>,
): Target | undefined {
  const now = Date.now();
  const untried = call.eligible().filter(target => !tried.has(target.id));
  const open = context.targets.filterAvailable(untried);
  const probe = open.find(t => t.health.stateAt(now) === 'probing');
  const healthy = open.filter(t => t.health.stateAt(now) === 'healthy');
  const kept = open.find(target => target.id === returnTo(caller));
  if (kept !== undefined) {
    note(caller, kept.id, []);
    return kept;
  }
  if (probe !== undefined && tried.size === 0) {
    probe.health.noteProbe();
    note(caller, probe.id, []);
    return probe;
  }
  // With everything ejected, a bad target is better than none.
  const usable = healthy.length > 0 ? healthy : open;
  if (usable.length === 0) {
    return undefined;
  }
  const candidates = usable.map(t => candidateOf(context, call, t, now));
  const decision = context.policy.choose(call.routed, candidates);
  note(caller, decision.chosen, decision.weighed);
  return usable.find(target => target.id === decision.chosen);
}

/** The target that keeps a place for a caller that comes back. */
function returnTo(caller: entry.CallerRequest): string | undefined {
  return body.headerOf(caller.req, headers.RETURN_HEADER);
}

function note(
  caller: entry.CallerRequest,
  target: string,
  weighed: readonly {
    id: string;
    score: number;
    waitMs: number;
    prefillMs: number;
    stepMs: number;
    hallMs: number;
  }[],
): void {
  caller.entry.attempts.push({target, weighed: [...weighed], result: 'open'});
}

function candidateOf(
  context: entry.EntryContext,
  call: Forwarded,
  target: Target,
  now: number,
): Candidate {
  const {prefix} = call.routed;
  // The report was made about one way before it arrived.
  const unseen = target.sent.since(target.loadAt - ONE_WAY_MS);
  return {
    id: target.id,
    group: target.serves.kind === 'model' ? target.serves.group : '',
    hall: target.hall,
    load: target.load,
    loadAgeMs: now - target.loadAt,
    sentSince: unseen.requests,
    sentTokens: unseen.tokens,
    inFlight: target.inFlight,
    cachedTokens:
      prefix === '' ? 0 : context.prefixes.tokensAt(prefix, target.id),
  };
}

async function tryTarget(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: Forwarded,
  target: Target,
): Promise<Result<Forwarding, refusals.Refusal>> {
  const attempt = caller.entry.attempts[caller.entry.attempts.length - 1]!;
  target.inFlight += 1;
  const sentAt = performance.now();
  context.targets.noteSent(target.id);
  const cached = context.prefixes.tokensAt(call.routed.prefix, target.id);
  const tokens = Math.max(call.routed.promptTokens - cached, 0);
  target.sent.note(Date.now(), tokens);
  const done = once(() => {
    target.inFlight -= 1;
  });
  const sent = await httpClient.send(context.agent, {
    address: target.address,
    method: call.method,
    path: call.path,
    headers: entry.forwardHeaders(context, caller),
    body: call.text,
    timeoutMs: entry.timeLeft(caller),
    signal: caller.signal,
  });
  if (!sent.ok) {
    done();
    attempt.result = sent.error.kind;
    return fail(onLost(context, caller, target, sent.error));
  }
  entry.learnFrom(context, target, target.address, sent.value);
  const refusal = await entry.readRefusal(sent.value);
  if (refusal !== undefined) {
    done();
    attempt.result = refusal.kind;
    noteRefusal(context, caller, target, refusal);
    return fail(refusal);
  }
  attempt.result = `status ${sent.value.statusCode}`;
  noteSuccess(context, target);
  context.targets.noteAccepted(target.id, sentAt);
  return ok({target, res: sent.value, done});
}

function onLost(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  target: Target,
  err: httpClient.CallError,
): refusals.Refusal {
  switch (err.kind) {
    case 'cancelled':
      return refusals.unknownOutcome('target-failed', 'the caller went away');
    case 'timed-out':
      noteFailure(context, caller, target);
      return refusals.unknownOutcome(
        'deadline-exceeded',
        'the target did not answer in time',
        NO_TARGET_RETRY_MS,
      );
    case 'no-connection':
      noteFailure(context, caller, target);
      return refusals.notRun('target-failed', err.kind, NO_TARGET_RETRY_MS);
    case 'connection-lost':
      noteFailure(context, caller, target);
      return refusals.unknownOutcome(
        'target-failed',
        err.kind,
        NO_TARGET_RETRY_MS,
      );
  }
}

function noteRefusal(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  target: Target,
  refusal: refusals.Refusal,
): void {
  if (refusal.kind === 'leaving') {
    context.targets.markLeaving(target.id);
    context.log.event('targetLeaving', {target: target.id, by: 'refusal'});
  } else if (refusal.kind === 'resting') {
    const {retryAfterMs = NO_TARGET_RETRY_MS} = refusal;
    if (context.targets.startCooldown(target.id, retryAfterMs)) {
      const fields = {target: target.id, restMs: retryAfterMs};
      context.log.event('targetResting', fields);
    }
  } else if (refusal.kind === 'target-failed') {
    noteFailure(context, caller, target);
  } else {
    noteSuccess(context, target);
  }
}

function noteFailure(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  target: Target,
): void {
  const {maxEjectedShare} = caller.account.template.routing;
  const now = Date.now();
  const peers = context.targets.all();
  const out = peers.filter(t => t.health.stateAt(now) !== 'healthy').length;
  const allowed = (out + 1) / peers.length <= maxEjectedShare;
  if (target.health.noteFailure(now, allowed)) {
    context.log.event('targetEjected', {target: target.id});
    context.metrics.count('ejections_total');
  }
}

function noteSuccess(context: entry.EntryContext, target: Target): void {
  if (target.health.noteSuccess()) {
    context.log.event('targetReadmitted', {target: target.id});
  }
}

function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (!isDone) {
      isDone = true;
      action();
    }
  };
}
