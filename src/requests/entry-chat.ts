/**
 * An entry's part of chat completions: routes, streams, resumes, reconnects.
 */
import type * as http from 'node:http';
import * as body from '../http/body';
import * as httpClient from '../http/client';
import * as prefixes from '../routing/prefix-index';
import type {TargetLocation} from '../targets/directory';
import * as chatRequest from './chat-request';
import * as entry from './entry-context';
import * as forwarding from './entry-forward';
import * as eventStream from './event-stream';
import * as refusals from './refusals';
import {ReorderBuffer} from './reorder-buffer';
import * as responses from './responses';

const RESUME_TIMEOUT_MS = 4_000;
const RESUME_RETRY_INTERVAL_MS = 150;
const STREAM_LOST_RETRY_AFTER_MS = 1_000;

/** Runs a chat completion whose body has been read. */
export async function runChat(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  chat: chatRequest.ChatRequest,
  payload: Buffer,
): Promise<void> {
  const prefix = prefixes.digestPrefix(`${caller.account.id}\n${chat.prompt}`);
  const promptTokens = prefixes.estimateTokens(chat.prompt);
  const sent = await forwarding.forward(context, caller, {
    method: 'POST',
    path: chatRequest.CHAT_PATH,
    payload,
    routed: {
      account: caller.account.id,
      prefix,
      promptTokens,
      hall: context.hall,
    },
    eligible: () => context.targets.forModel(chat.model),
  });
  if (!sent.ok) {
    entry.refuseCaller(context, caller, sent.error);
    return;
  }
  const {target, res, done} = sent.value;
  context.prefixes.noteSent(prefix, target.id, promptTokens);
  try {
    await (responses.isEventStream(res)
      ? relayStream(context, caller, target, res, 0)
      : entry.relayResponse(context, caller, res, 'assistant'));
  } finally {
    done();
  }
}

/** Continues a stream after the last event that the caller has received. */
export async function reconnect(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  lastEventId: string,
): Promise<void> {
  const event = eventStream.splitEventId(lastEventId);
  const stream = event && eventStream.splitStreamName(event.name);
  if (event === undefined || stream === undefined) {
    const detail = 'Last-Event-ID is not the ID of a stream event';
    entry.refuseCaller(context, caller, refusals.notRun('bad-request', detail));
    return;
  }
  // Waits because an entry that has just started serves requests before it has
  // received the list of targets.
  const target = await context.targets.waitFor(
    stream.target,
    Math.min(RESUME_TIMEOUT_MS, entry.remainingMs(caller)),
    caller.signal,
  );
  if (target === undefined) {
    entry.refuseCaller(
      context,
      caller,
      streamLostRefusal('the target of the stream is unknown'),
    );
    return;
  }
  const owned = {...caller, id: stream.request};
  const res = await resumeAtTarget(context, owned, target, event.sequence);
  if (res === undefined) {
    entry.refuseCaller(
      context,
      caller,
      streamLostRefusal('the target no longer has the stream'),
    );
    return;
  }
  await relayStream(context, owned, target, res, event.sequence);
}

function streamLostRefusal(detail: string): refusals.Refusal {
  return refusals.unknownOutcome(
    'stream-lost',
    detail,
    STREAM_LOST_RETRY_AFTER_MS,
  );
}

/** Relays events until the stream ends, resuming broken connections. */
async function relayStream(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  target: TargetLocation,
  first: http.IncomingMessage,
  after: number,
): Promise<void> {
  const {res} = caller;
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    [refusals.REQUEST_HEADER]: caller.id,
    [refusals.OUTCOME_HEADER]: 'ran',
  });
  res.flushHeaders();
  const name = `${target.id}.${caller.id}`;
  const buffer = new ReorderBuffer<string>(after);
  const timer = new TokenTimer(context, caller);
  const deliver: eventStream.Deliver = (sequence, data) => {
    timer.noteToken();
    return eventStream.writeEvent(res, `${name}.${sequence}`, data);
  };
  let connection: http.IncomingMessage | undefined = first;
  res.once('close', () => connection?.destroy());
  while (connection !== undefined) {
    const end = await eventStream.readEvents(connection, name, buffer, deliver);
    if (res.destroyed) {
      caller.journalEntry.outcome = 'caller went away';
      context.log.event('callerGone', {request: caller.id});
      return;
    }
    if (end.kind === 'done' || end.kind === 'failed') {
      await finishStream(context, caller, end);
      return;
    }
    if (end.kind === 'foreign') {
      context.log.event('foreignAnswer', {request: caller.id, named: end.id});
    }
    connection = await resumeAtTarget(
      context,
      caller,
      target,
      buffer.delivered,
    );
  }
  await abortStream(context, caller, target.id, buffer.delivered);
}

async function finishStream(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  end: eventStream.StreamEnd,
): Promise<void> {
  caller.journalEntry.outcome = end.kind;
  if (end.kind === 'failed') {
    const error = body.parseJsonBytes(Buffer.from(end.data));
    await eventStream.writeErrorEvent(caller.res, error.ok ? error.value : {});
  }
  const totalMs = Date.now() - caller.startedAt;
  context.metrics.recordDuration(
    'whole',
    caller.account.id,
    'assistant',
    totalMs,
  );
  context.metrics.count('answers_total', {kind: 'stream', end: end.kind});
  caller.res.end();
}

/** Ends a stream that cannot be resumed with an error event. */
async function abortStream(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  target: string,
  delivered: number,
): Promise<void> {
  const refusal = streamLostRefusal(
    `${target} lost the stream after event ${delivered}`,
  );
  caller.journalEntry.outcome = 'stream-lost';
  context.log.event('streamBroken', {request: caller.id, target, delivered});
  context.metrics.count('answers_total', {kind: 'stream', end: 'lost'});
  const document = refusals.problemDocument(refusal, caller.id);
  await eventStream.writeErrorEvent(caller.res, document);
  caller.res.end();
}

/**
 * Resumes a stream; retries for RESUME_TIMEOUT_MS while the sidecar restarts.
 */
async function resumeAtTarget(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  target: TargetLocation,
  after: number,
): Promise<http.IncomingMessage | undefined> {
  const giveUpAt = Math.min(Date.now() + RESUME_TIMEOUT_MS, caller.deadlineAt);
  while (Date.now() < giveUpAt && !caller.signal.aborted) {
    const sent = await httpClient.send(context.agent, {
      address: target.address,
      method: 'GET',
      path: `${chatRequest.STREAMS_PATH}${caller.id}?after=${after}`,
      headers: entry.forwardHeaders(context, caller),
      timeoutMs: giveUpAt - Date.now(),
      signal: caller.signal,
    });
    if (sent.ok && responses.isEventStream(sent.value)) {
      const request = caller.id;
      context.log.event('streamResumed', {request, target: target.id, after});
      return sent.value;
    }
    if (sent.ok) {
      const refusal = await entry.readRefusal(sent.value);
      sent.value.destroy();
      // A sidecar that has just started has no configuration yet: retry.
      if (refusal?.kind !== 'no-target') {
        return undefined;
      }
    }
    await new Promise(resolve => setTimeout(resolve, RESUME_RETRY_INTERVAL_MS));
  }
  return undefined;
}

/** Measures the time to the first token and between tokens. */
class TokenTimer {
  private lastAt = 0;

  constructor(
    private readonly context: entry.EntryContext,
    private readonly caller: entry.CallerRequest,
  ) {}

  noteToken(): void {
    const now = Date.now();
    const isFirst = this.lastAt === 0;
    const previousAt = isFirst ? this.caller.startedAt : this.lastAt;
    this.context.metrics.recordDuration(
      isFirst ? 'first_token' : 'between_tokens',
      this.caller.account.id,
      'assistant',
      now - previousAt,
    );
    this.lastAt = now;
  }
}
