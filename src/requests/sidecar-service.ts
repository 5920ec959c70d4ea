/**
 * A sidecar's part of service calls: repeatable ones, and others at most once.
 */
import type * as http from 'node:http';
import type {Service} from '../configuration/types';
import * as body from '../http/body';
import * as heldBody from '../http/held-body';
import type * as httpClient from '../http/client';
import * as keys from '../claims/keys';
import type {StoredResponse} from '../claims/records';
import type {KeyRefusal, RunResult, KeyedRuns} from '../claims/keyed-runs';
import {Result, fail, ok} from '../result';
import type {Ticket} from './admission';
import * as headers from './headers';
import * as refusals from './refusals';
import * as responses from './responses';
import {
  IncomingRequest,
  SidecarContext,
  abortOnClose,
  cooldownRefusal,
  sendToTarget,
  remainingMs,
} from './sidecar-context';

const MAX_STORED_RESPONSE_BYTES = 64 * 1024;
const RETRY_AFTER_MS = 1_000;

/** A call with its body read. */
interface ServiceCall {
  readonly incoming: IncomingRequest;
  readonly method: string;
  readonly path: string;
  readonly payload: Buffer;
}

export class SidecarService {
  constructor(
    private readonly context: SidecarContext,
    private readonly runs: KeyedRuns,
    private readonly settings: () => Service | undefined,
  ) {}

  /** Handles a call; `path` is the path at the target. */
  async run(incoming: IncomingRequest, path: string): Promise<void> {
    const read = await heldBody.readCallerBody(
      incoming.req,
      incoming.res,
      headers.MAX_REQUEST_BYTES,
      this.context.held,
    );
    if (!read.ok) {
      const refusal = responses.bodyRefusal(read.error);
      const unconfirmed = refusals.withUnconfirmedOutcome(
        incoming.req,
        refusal,
      );
      responses.refuse(this.context, incoming, unconfirmed);
      return;
    }
    const method = incoming.req.method ?? 'GET';
    const call: ServiceCall = {incoming, method, path, payload: read.value};
    const text = body.headerOf(incoming.req, headers.KEY_HEADER);
    if (text !== undefined && !isRepeatable(this.settings(), method, path)) {
      await this.runKeyed(call, text);
      return;
    }
    if (!isRepeatable(this.settings(), method, path)) {
      const detail = `${method} ${path} may not be repeated`;
      responses.refuse(
        this.context,
        incoming,
        refusals.notRun('key-required', detail),
      );
      return;
    }
    await this.runRepeatable(call);
  }

  private async runRepeatable(call: ServiceCall): Promise<void> {
    const {incoming} = call;
    const signal = abortOnClose(incoming.res);
    if (this.context.isLeaving()) {
      responses.refuse(this.context, incoming, responses.leavingRefusal());
      return;
    }
    const ticket = await this.admit(incoming, signal);
    if (!ticket.ok) {
      responses.refuse(this.context, incoming, ticket.error);
      return;
    }
    const sent = await this.dispatch(call, signal);
    if (!sent.ok) {
      ticket.value.release();
      const failed = sent.error.sent
        ? refusals.unknownOutcome('target-failed', sent.error.kind)
        : refusals.notRun('target-failed', sent.error.kind);
      responses.refuse(this.context, incoming, failed);
      return;
    }
    const cooldown = cooldownRefusal(sent.value);
    if (cooldown !== undefined) {
      ticket.value.release();
      sent.value.resume();
      responses.refuse(this.context, incoming, cooldown);
      return;
    }
    await responses.relayResponse(this.context, incoming, sent.value);
    ticket.value.release();
  }

  /**
   * Runs a call with a key to its end even if the caller disconnects. A leaving
   * owner accepts calls until the slot is surrendered.
   */
  private async runKeyed(call: ServiceCall, keyText: string): Promise<void> {
    const {incoming} = call;
    const key = keys.parseKey(keyText);
    if (key === undefined) {
      responses.refuse(
        this.context,
        incoming,
        refusals.notRun('bad-key', 'not a UUIDv7'),
      );
      return;
    }
    const admission = this.runs.admit({
      account: incoming.account,
      key,
      fingerprint: fingerprintOf(call),
    });
    switch (admission.kind) {
      case 'refuse':
        responses.refuse(this.context, incoming, toRefusal(admission.refusal));
        return;
      case 'replay':
        this.sendStoredResponse(incoming, admission.answer, true);
        return;
      case 'wait':
        this.sendResult(incoming, await admission.end, true);
        return;
      case 'run': {
        const run = await this.runOnce(call, admission.finish);
        this.sendResult(incoming, run.end, false, run.refusal);
        return;
      }
    }
  }

  /** Runs a call; calls `finish` whether or not the call succeeds. */
  private async runOnce(
    call: ServiceCall,
    finish: (end: RunResult) => void,
  ): Promise<{end: RunResult; refusal?: refusals.Refusal}> {
    const ticket = await this.admit(call.incoming);
    if (!ticket.ok) {
      finish({kind: 'not-run'});
      return {end: {kind: 'not-run'}, refusal: ticket.error};
    }
    const end = await this.dispatchOnce(call);
    ticket.value.release();
    finish(end);
    return {end};
  }

  private async dispatchOnce(call: ServiceCall): Promise<RunResult> {
    const sent = await this.dispatch(call);
    if (!sent.ok) {
      return {kind: sent.error.sent ? 'unknown' : 'not-run'};
    }
    const read = await body.readBody(sent.value, MAX_STORED_RESPONSE_BYTES);
    if (!read.ok) {
      sent.value.destroy();
      return {kind: 'ran', answer: null};
    }
    const answer: StoredResponse = {
      status: sent.value.statusCode ?? 502,
      contentType: sent.value.headers['content-type'] ?? '',
      body: read.value.toString('base64'),
    };
    return {kind: 'ran', answer};
  }

  private admit(
    incoming: IncomingRequest,
    signal?: AbortSignal,
  ): Promise<Result<Ticket, refusals.Refusal>> {
    const {account, weight, priority, deadlineAt, isReservedRetry} = incoming;
    return this.context.admission.admit(
      {
        account,
        weight,
        priority,
        cost: 1,
        deadlineAt,
        isReservedRetry,
      },
      signal,
    );
  }

  private async dispatch(
    call: ServiceCall,
    signal?: AbortSignal,
  ): Promise<Result<http.IncomingMessage, httpClient.CallError>> {
    const {incoming} = call;
    const type = body.headerOf(incoming.req, 'content-type');
    const key = body.headerOf(incoming.req, headers.KEY_HEADER);
    const sent = await sendToTarget(this.context, {
      method: call.method,
      path: call.path,
      headers: {
        [refusals.REQUEST_HEADER]: incoming.id,
        [headers.ACCOUNT_HEADER]: incoming.account,
        ...(type === undefined ? {} : {'content-type': type}),
        ...(key === undefined ? {} : {[headers.KEY_HEADER]: key}),
      },
      body: call.payload.length > 0 ? call.payload : undefined,
      timeoutMs: remainingMs(incoming),
      signal,
    });
    return sent.ok ? this.checkRequestId(incoming, sent.value) : sent;
  }

  /** Rejects a response that names another request. */
  private checkRequestId(
    incoming: IncomingRequest,
    res: http.IncomingMessage,
  ): Result<http.IncomingMessage, httpClient.CallError> {
    const named = body.headerOf(res, refusals.REQUEST_HEADER);
    if (named === undefined || named === incoming.id) {
      return ok(res);
    }
    res.destroy();
    this.context.log.event('foreignAnswer', {request: incoming.id, named});
    return fail({kind: 'connection-lost', sent: true});
  }

  private sendResult(
    incoming: IncomingRequest,
    end: RunResult,
    replayed: boolean,
    refusal?: refusals.Refusal,
  ): void {
    switch (end.kind) {
      case 'ran':
        this.sendStoredResponse(incoming, end.answer, replayed);
        return;
      case 'not-run':
        responses.refuse(
          this.context,
          incoming,
          refusal ??
            refusals.notRun(
              'target-failed',
              'the call was not sent to the target',
            ),
        );
        return;
      case 'unknown':
        responses.refuse(
          this.context,
          incoming,
          toRefusal({kind: 'outcome-unknown'}),
        );
    }
  }

  private sendStoredResponse(
    incoming: IncomingRequest,
    answer: StoredResponse | null,
    replayed: boolean,
  ): void {
    if (answer === null) {
      const detail = 'the response is no longer stored';
      responses.refuse(this.context, incoming, {
        kind: 'already-ran',
        outcome: 'ran',
        detail,
      });
      return;
    }
    const {res} = incoming;
    if (res.destroyed || res.headersSent) {
      return;
    }
    const text = Buffer.from(answer.body, 'base64');
    res.writeHead(answer.status, {
      ...(answer.contentType === ''
        ? {}
        : {'content-type': answer.contentType}),
      'content-length': text.length,
      ...(replayed ? {[headers.REPLAYED_HEADER]: 'true'} : {}),
      ...responses.sidecarHeaders(this.context, incoming),
    });
    res.end(text);
  }
}

/** Whether a call may run more than once; only listed calls may. */
export function isRepeatable(
  service: Service | undefined,
  method: string,
  path: string,
): boolean {
  const pathname = path.split('?')[0]!;
  const isListed = (service?.repeatable ?? []).some(
    rule =>
      rule.method === method &&
      (pathname === rule.path || pathname.startsWith(rule.path + '/')),
  );
  return isListed;
}

/** Digest of a call, to detect a key that is reused for another call. */
function fingerprintOf(call: ServiceCall): string {
  const head = `${call.method} ${call.path}\n`;
  return headers.sha256Hex(Buffer.concat([Buffer.from(head), call.payload]));
}

/** The refusal sent to the caller for a key refusal. */
export function toRefusal(refusal: KeyRefusal): refusals.Refusal {
  switch (refusal.kind) {
    case 'key-burnt':
      return refusals.notRun('key-burnt', 'use a new key');
    case 'outcome-unknown':
      return refusals.unknownOutcome('outcome-unknown', 'the key may have run');
    case 'key-reused':
      return {
        kind: 'key-reused',
        outcome: refusal.ran ? 'ran' : 'unknown',
        detail: 'the outcome is that of the first request with this key',
      };
    case 'key-ahead':
      return refusals.unknownOutcome(
        'key-ahead',
        `minted ${Math.ceil(refusal.leadMs)} ms in the future; see /v1/request-keys`,
        refusal.leadMs,
      );
    case 'key-too-old':
      return refusals.unknownOutcome('key-too-old', 'use a new key');
    case 'not-owner':
      return refusals.unknownOutcome(
        'not-owner',
        refusal.owner?.address ?? '',
        RETRY_AFTER_MS,
      );
  }
}
