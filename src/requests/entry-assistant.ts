/** An entry's side of chat completions: route, stream, resume, reconnect. */
import type * as http from 'node:http';
import * as body from '../http/body';
import * as httpClient from '../http/client';
import * as prefixes from '../routing/prefixes';
import type {TargetLocation} from '../targets/directory';
import * as assistant from './assistant';
import * as entry from './entry-context';
import * as forwarding from './entry-forward';
import * as eventStream from './event-stream';
import * as refusals from './refusals';
import {SequenceGate} from './sequence';
import * as answers from './answers';

const RESUME_PATIENCE_MS = 4_000;
const RESUME_PAUSE_MS = 150;
const LOST_RETRY_MS = 1_000;

/** Runs a chat completion whose body has been read. */
export async function runChat(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  chat: assistant.ChatRequest,
  text: Buffer,
): Promise<void> {
  const prefix = prefixes.digestPrefix(`${caller.account.id}\n${chat.prompt}`);
  const promptTokens = prefixes.estimateTokens(chat.prompt);
  const sent = await forwarding.forward(context, caller, {
    method: 'POST',
    path: assistant.CHAT_PATH,
    text,
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
    await (answers.isEventStream(res)
      ? pump(context, caller, target, res, 0)
      : entry.passOn(context, caller, res, 'assistant'));
  } finally {
    done();
  }
}

/** Goes on with a stream that the caller lost, by its last event's id. */
export async function reconnect(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  lastEventId: string,
): Promise<void> {
  const event = eventStream.splitEventId(lastEventId);
  const stream = event && eventStream.splitStreamName(event.name);
  if (event === undefined || stream === undefined) {
    const detail = 'Last-Event-ID is no event of a stream';
    entry.refuseCaller(context, caller, refusals.notRun('bad-request', detail));
    return;
  }
  // The event's id tells that the target is there: an entry that has just
  // started serves before the list has come that names it.
  const target = await context.targets.waitFor(
    stream.target,
    Math.min(RESUME_PATIENCE_MS, entry.timeLeft(caller)),
    caller.signal,
  );
  if (target === undefined) {
    entry.refuseCaller(context, caller, lostRefusal('its target is unknown'));
    return;
  }
  const owned = {...caller, id: stream.request};
  const res = await resumeAt(context, owned, target, event.sequence);
  if (res === undefined) {
    entry.refuseCaller(context, caller, lostRefusal('it is not kept'));
    return;
  }
  await pump(context, owned, target, res, event.sequence);
}

function lostRefusal(detail: string): refusals.Refusal {
  return refusals.unknownOutcome('stream-lost', detail, LOST_RETRY_MS);
}

/** Passes events on until the end, resuming where a connection breaks. */
async function pump(
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
  const gate = new SequenceGate<string>(after);
  const meter = new TokenMeter(context, caller);
  const deliver: eventStream.Deliver = (sequence, data) => {
    meter.noteToken();
    return eventStream.writeEvent(res, `${name}.${sequence}`, data);
  };
  let connection: http.IncomingMessage | undefined = first;
  res.once('close', () => connection?.destroy());
  while (connection !== undefined) {
    const end = await eventStream.readEvents(connection, name, gate, deliver);
    if (res.destroyed) {
      caller.entry.outcome = 'caller went away';
      context.log.event('callerGone', {request: caller.id});
      return;
    }
    if (end.kind === 'done' || end.kind === 'failed') {
      await finish(context, caller, end);
      return;
    }
    if (end.kind === 'foreign') {
      context.log.event('foreignAnswer', {request: caller.id, named: end.id});
    }
    connection = await resumeAt(context, caller, target, gate.delivered);
  }
  await breakOff(context, caller, target.id, gate.delivered);
}

async function finish(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  end: eventStream.StreamEnd,
): Promise<void> {
  caller.entry.outcome = end.kind;
  if (end.kind === 'failed') {
    const error = body.parseJson(end.data);
    await eventStream.writeErrorEvent(caller.res, error.ok ? error.value : {});
  }
  const wholeMs = Date.now() - caller.startedAt;
  context.metrics.time('whole', caller.account.id, 'assistant', wholeMs);
  context.metrics.count('answers_total', {kind: 'stream', end: end.kind});
  caller.res.end();
}

/** The stream cannot go on: the caller gets a typed error, never a stump. */
async function breakOff(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  target: string,
  delivered: number,
): Promise<void> {
  const refusal = lostRefusal(`${target} lost it after event ${delivered}`);
  caller.entry.outcome = 'stream-lost';
  context.log.event('streamBroken', {request: caller.id, target, delivered});
  context.metrics.count('answers_total', {kind: 'stream', end: 'lost'});
  const document = refusals.problemOf(refusal, caller.id);
  await eventStream.writeErrorEvent(caller.res, document);
  caller.res.end();
}

/** Tries for a while: a sidecar that restarts in place is soon back. */
async function resumeAt(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  target: TargetLocation,
  after: number,
): Promise<http.IncomingMessage | undefined> {
  const giveUpAt = Math.min(Date.now() + RESUME_PATIENCE_MS, caller.deadlineAt);
  while (Date.now() < giveUpAt && !caller.signal.aborted) {
    const sent = await httpClient.send(context.agent, {
      address: target.address,
      method: 'GET',
      path: `${assistant.STREAMS_PATH}${caller.id}?after=${after}`,
      headers: entry.forwardHeaders(context, caller),
      timeoutMs: giveUpAt - Date.now(),
      signal: caller.signal,
    });
    if (sent.ok && answers.isEventStream(sent.value)) {
      const request = caller.id;
      context.log.event('streamResumed', {request, target: target.id, after});
      return sent.value;
    }
    if (sent.ok) {
      const refusal = await entry.readRefusal(sent.value);
      sent.value.destroy();
      // A sidecar that has just started refuses for want of configuration.
      if (refusal?.kind !== 'no-target') {
        return undefined;
      }
    }
    await new Promise(resolve => setTimeout(resolve, RESUME_PAUSE_MS));
  }
  return undefined;
}

/** Times first tokens and the gaps between tokens. */
class TokenMeter {
  private lastAt = 0;

  constructor(
    private readonly context: entry.EntryContext,
    private readonly caller: entry.CallerRequest,
  ) {}

  noteToken(): void {
    const now = Date.now();
    const isFirst = this.lastAt === 0;
    const since = isFirst ? this.caller.startedAt : this.lastAt;
    this.context.metrics.time(
      isFirst ? 'first_token' : 'between_tokens',
      this.caller.account.id,
      'assistant',
      now - since,
    );
    this.lastAt = now;
  }
}
