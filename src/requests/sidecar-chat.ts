/** A sidecar's part of chat completions: admits, streams, resumes, cancels. */
import type * as http from 'node:http';
import * as body from '../http/body';
import * as heldBody from '../http/held-body';
import * as httpClient from '../http/client';
import {Result, fail, ok} from '../result';
import * as prefixes from '../routing/prefix-index';
import type {Ticket} from './admission';
import * as chatRequest from './chat-request';
import * as responses from './responses';
import * as eventStream from './event-stream';
import * as headers from './headers';
import * as refusals from './refusals';
import {ReorderBuffer} from './reorder-buffer';
import {
  IncomingRequest,
  SidecarContext,
  abortOnClose,
  cooldownRefusal,
  sendToTarget,
  remainingMs,
} from './sidecar-context';

const MAX_RESUME_ATTEMPTS = 3;
const RESUME_RETRY_INTERVAL_MS = 100;
const STREAM_CALL_TIMEOUT_MS = 1_000;
const DEFAULT_RESUME_GRACE_MS = 5_000;

/** An engine stream, with or without a connection of a caller. */
interface Session {
  readonly request: string;
  readonly name: string;
  readonly ticket: Ticket | undefined;
  readonly graceMs: number;
  attached: http.ServerResponse | undefined;
  graceTimer: NodeJS.Timeout | undefined;
}

export class SidecarChat {
  private readonly sessions = new Map<string, Session>();

  constructor(private readonly context: SidecarContext) {}

  /** Number of open streams, with or without a connection. */
  get openCount(): number {
    return this.sessions.size;
  }

  async run(incoming: IncomingRequest): Promise<void> {
    const read = await heldBody.readCallerBody(
      incoming.req,
      incoming.res,
      headers.MAX_REQUEST_BYTES,
      this.context.held,
    );
    if (!read.ok) {
      responses.refuse(
        this.context,
        incoming,
        responses.bodyRefusal(read.error),
      );
      return;
    }
    const chat = chatRequest.parseChat(read.value);
    if (!chat.ok) {
      responses.refuse(this.context, incoming, chat.error);
      return;
    }
    const signal = abortOnClose(incoming.res);
    const ticket = await this.admit(incoming, chat.value, signal);
    if (!ticket.ok) {
      responses.refuse(this.context, incoming, ticket.error);
      return;
    }
    this.context.metrics.recordQueueTime(
      incoming.account,
      ticket.value.waitedMs,
    );
    const sent = await this.dispatch(incoming, read.value, signal);
    if (!sent.ok) {
      ticket.value.release();
      responses.refuse(this.context, incoming, sent.error);
      return;
    }
    if (responses.isEventStream(sent.value)) {
      await this.startStream(incoming, chat.value, sent.value, ticket.value);
      return;
    }
    await responses.relayResponse(this.context, incoming, sent.value);
    ticket.value.release();
  }

  /** Continues a stream after event number `after`. */
  async resume(
    incoming: IncomingRequest,
    request: string,
    after: number,
  ): Promise<void> {
    const name = headers.streamNameOf(request, incoming.account);
    const existing = this.sessions.get(name);
    const session = existing ?? this.newSession(request, name, undefined, '');
    clearTimeout(session.graceTimer);
    // An older connection is half-open; only the newest gets events.
    session.attached?.destroy();
    session.attached = incoming.res;
    const first = await this.resumeAtEngine(session, after);
    if (first === undefined) {
      this.endSession(session);
      responses.refuse(
        this.context,
        incoming,
        refusals.unknownOutcome(
          'stream-lost',
          'the engine does not have the stream',
        ),
      );
      return;
    }
    await this.relayStream(incoming, session, first, after);
  }

  /** Cancels a stream at the engine. */
  async cancel(incoming: IncomingRequest, request: string): Promise<void> {
    const name = headers.streamNameOf(request, incoming.account);
    const session = this.sessions.get(name);
    await this.cancelAtEngine(name);
    if (session !== undefined) {
      this.endSession(session);
    }
    body.sendJson(incoming.res, 200, {cancelled: true});
  }

  /** Drops all sessions; streams continue at the engine. */
  close(): void {
    for (const session of this.sessions.values()) {
      clearTimeout(session.graceTimer);
    }
    this.sessions.clear();
  }

  private admit(
    incoming: IncomingRequest,
    chat: chatRequest.ChatRequest,
    signal: AbortSignal,
  ): Promise<Result<Ticket, refusals.Refusal>> {
    if (this.context.isLeaving()) {
      return Promise.resolve(fail(responses.leavingRefusal()));
    }
    return this.context.admission.admit(
      {
        account: incoming.account,
        weight: incoming.weight,
        priority: incoming.priority,
        cost: 1 + prefixes.estimateTokens(chat.prompt) / 1_000,
        deadlineAt: incoming.deadlineAt,
        isReservedRetry: incoming.isReservedRetry,
      },
      signal,
    );
  }

  private async dispatch(
    incoming: IncomingRequest,
    payload: Buffer,
    signal: AbortSignal,
  ): Promise<Result<http.IncomingMessage, refusals.Refusal>> {
    const name = headers.streamNameOf(incoming.id, incoming.account);
    const sent = await sendToTarget(this.context, {
      method: 'POST',
      path: chatRequest.CHAT_PATH,
      headers: {
        'content-type': 'application/json',
        [refusals.REQUEST_HEADER]: incoming.id,
        [headers.STREAM_HEADER]: name,
        [headers.PRIORITY_HEADER]: String(incoming.priority),
        [headers.TIMEOUT_HEADER]: String(Math.ceil(remainingMs(incoming))),
      },
      body: payload,
      timeoutMs: remainingMs(incoming),
      signal,
    });
    if (sent.ok) {
      const cooldown = cooldownRefusal(sent.value);
      if (cooldown !== undefined) {
        sent.value.resume();
        return fail(cooldown);
      }
      return this.checkStreamName(incoming, name, sent.value);
    }
    const failed = sent.error.sent
      ? refusals.unknownOutcome('target-failed', sent.error.kind)
      : refusals.notRun('target-failed', sent.error.kind);
    if (sent.error.kind === 'timed-out') {
      void this.cancelAtEngine(name);
    }
    return fail(failed);
  }

  /** Rejects a response that names another stream. */
  private checkStreamName(
    incoming: IncomingRequest,
    name: string,
    res: http.IncomingMessage,
  ): Result<http.IncomingMessage, refusals.Refusal> {
    const named = body.headerOf(res, headers.STREAM_HEADER);
    if (named === undefined || named === name) {
      return ok(res);
    }
    res.destroy();
    this.context.log.event('foreignAnswer', {request: incoming.id, named});
    return fail(
      refusals.unknownOutcome('target-failed', 'answer to another request'),
    );
  }

  private async startStream(
    incoming: IncomingRequest,
    chat: chatRequest.ChatRequest,
    first: http.IncomingMessage,
    ticket: Ticket,
  ): Promise<void> {
    const name = headers.streamNameOf(incoming.id, incoming.account);
    const session = this.newSession(incoming.id, name, ticket, chat.model);
    session.attached = incoming.res;
    await this.relayStream(incoming, session, first, 0);
  }

  /**
   * Relays events, resuming at the engine, until the stream or connection ends.
   */
  private async relayStream(
    incoming: IncomingRequest,
    session: Session,
    first: http.IncomingMessage,
    after: number,
  ): Promise<void> {
    const {res} = incoming;
    this.writeStreamHeaders(incoming);
    const buffer = new ReorderBuffer<string>(after);
    const prefix = `${this.context.targetId}.${session.request}`;
    const deliver: eventStream.Deliver = (sequence, data) =>
      eventStream.writeEvent(res, `${prefix}.${sequence}`, data);
    let connection: http.IncomingMessage | undefined = first;
    res.once('close', () => connection?.destroy());
    while (connection !== undefined && !res.destroyed) {
      const end = await eventStream.readEvents(
        connection,
        session.name,
        buffer,
        deliver,
      );
      if (end.kind === 'done' || end.kind === 'failed') {
        this.endSession(session);
        await this.finishStream(res, end);
        return;
      }
      if (end.kind === 'foreign') {
        const request = session.request;
        this.context.log.event('foreignAnswer', {request, named: end.id});
      }
      connection = res.destroyed
        ? undefined
        : await this.resumeAtEngine(session, buffer.delivered);
    }
    this.onDetached(session, res);
  }

  private async finishStream(
    res: http.ServerResponse,
    end: eventStream.StreamEnd,
  ): Promise<void> {
    if (end.kind === 'failed') {
      const error = body.parseJsonBytes(Buffer.from(end.data));
      await eventStream.writeErrorEvent(res, error.ok ? error.value : {});
    }
    res.end();
  }

  private onDetached(session: Session, res: http.ServerResponse): void {
    if (session.attached !== res) {
      return;
    }
    if (!res.destroyed) {
      // The engine lost the stream. A regular end of the response would look
      // like a complete stream to the entry.
      res.destroy();
      this.endSession(session);
      return;
    }
    session.attached = undefined;
    this.context.log.event('callerGone', {request: session.request});
    session.graceTimer = setTimeout(() => {
      void this.cancelAtEngine(session.name);
      this.endSession(session);
    }, session.graceMs);
  }

  private async resumeAtEngine(
    session: Session,
    after: number,
  ): Promise<http.IncomingMessage | undefined> {
    for (let attempt = 0; attempt < MAX_RESUME_ATTEMPTS; attempt += 1) {
      const sent = await httpClient.send(this.context.agent, {
        address: this.context.targetAddress,
        method: 'GET',
        path: `${chatRequest.STREAMS_PATH}${session.name}?after=${after}`,
        timeoutMs: STREAM_CALL_TIMEOUT_MS,
      });
      if (sent.ok && sent.value.statusCode === 200) {
        const {request} = session;
        this.context.log.event('streamResumed', {request, after});
        return sent.value;
      }
      if (sent.ok) {
        sent.value.destroy();
        return undefined;
      }
      await new Promise(resolve =>
        setTimeout(resolve, RESUME_RETRY_INTERVAL_MS),
      );
    }
    return undefined;
  }

  private async cancelAtEngine(name: string): Promise<void> {
    const maxBytes = 64 * 1024;
    await httpClient.fetchBuffered(
      this.context.agent,
      {
        address: this.context.targetAddress,
        method: 'DELETE',
        path: chatRequest.STREAMS_PATH + name,
        timeoutMs: STREAM_CALL_TIMEOUT_MS,
      },
      maxBytes,
    );
  }

  private writeStreamHeaders(incoming: IncomingRequest): void {
    incoming.res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      ...responses.sidecarHeaders(this.context, incoming),
    });
    incoming.res.flushHeaders();
  }

  private newSession(
    request: string,
    name: string,
    ticket: Ticket | undefined,
    model: string,
  ): Session {
    const session: Session = {
      request,
      name,
      ticket,
      graceMs: this.resumeGraceMs(model),
      attached: undefined,
      graceTimer: undefined,
    };
    this.sessions.set(name, session);
    return session;
  }

  private endSession(session: Session): void {
    clearTimeout(session.graceTimer);
    session.ticket?.release();
    if (this.sessions.get(session.name) === session) {
      this.sessions.delete(session.name);
    }
  }

  private resumeGraceMs(model: string): number {
    for (const template of this.context.follower.replica.allTemplates()) {
      const found = template.models[model];
      if (found !== undefined) {
        return found.resumeGraceMs;
      }
    }
    return DEFAULT_RESUME_GRACE_MS;
  }
}
