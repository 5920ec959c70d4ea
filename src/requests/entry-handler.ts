/** Handles callers' requests: authentication, paths, limits and deadlines. */
import type * as http from 'node:http';
import * as uuid from 'uuid';
import * as v from 'valibot';
import type {RenderedAccount} from '../configuration/types';
import * as body from '../http/body';
import * as heldBody from '../http/held-body';
import {Result, fail, ok} from '../result';
import * as chatRequest from './chat-request';
import * as entryChat from './entry-chat';
import * as entry from './entry-context';
import * as entryService from './entry-service';
import * as headers from './headers';
import {AccountLimits} from './limits';
import * as refusals from './refusals';
import * as responses from './responses';

const KEYS_PATH = '/v1/request-keys';
const MAX_KEYS_PER_REQUEST = 100;
const NO_OWNER_RETRY_AFTER_MS = 2_000;
const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,256})$/i;

const keysRequestSchema = v.object({
  service: v.string(),
  count: v.optional(
    v.pipe(
      v.number(),
      v.integer(),
      v.minValue(1),
      v.maxValue(MAX_KEYS_PER_REQUEST),
    ),
    1,
  ),
});

/** A request whose body has been read, before limits are applied. */
interface ParsedRequest {
  readonly timeoutMs: number;
  /** Short description for the journal. */
  readonly summary: string;
  readonly run: (caller: entry.CallerRequest) => Promise<void>;
  /** Sends a refusal by the entry itself. */
  readonly refuse: (
    caller: entry.CallerRequest,
    refusal: refusals.Refusal,
  ) => Promise<void>;
}

export class EntryHandler {
  private open = 0;

  constructor(
    private readonly context: entry.EntryContext,
    private readonly limits: AccountLimits,
  ) {}

  /** Number of requests in progress. */
  get openCount(): number {
    return this.open;
  }

  async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const id = uuid.v7();
    this.open += 1;
    res.once('close', () => {
      this.open -= 1;
    });
    const account = this.authenticate(req);
    if (!account.ok) {
      this.refuseEarly(req, res, id, account.error);
      return;
    }
    const parsed = await this.parse(req, res, account.value);
    if (!parsed.ok) {
      this.refuseEarly(req, res, id, parsed.error);
      return;
    }
    await this.runLimited(req, res, id, account.value, parsed.value);
  }

  private async runLimited(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    id: string,
    account: RenderedAccount,
    parsed: ParsedRequest,
  ): Promise<void> {
    const timeoutText = body.headerOf(req, headers.TIMEOUT_HEADER);
    const timeoutMs = headers.parseTimeoutMs(timeoutText, parsed.timeoutMs);
    if (timeoutMs === undefined) {
      const detail = `${headers.TIMEOUT_HEADER}: not an integer from 0 to 999999999`;
      this.refuseEarly(req, res, id, refusals.notRun('bad-request', detail));
      return;
    }
    const abort = new AbortController();
    res.once('close', () => {
      if (!res.writableFinished) {
        abort.abort();
      }
    });
    const now = Date.now();
    const caller: entry.CallerRequest = {
      req,
      res,
      id,
      account,
      startedAt: now,
      deadlineAt: now + timeoutMs,
      journalEntry: this.context.journal.start(id, account.id, parsed.summary),
      signal: abort.signal,
    };
    const refusal = this.limits.acquire(account.id, account.parameters, now);
    if (refusal !== undefined) {
      await parsed.refuse(caller, refusal);
      return;
    }
    try {
      await parsed.run(caller);
    } finally {
      this.limits.release(account.id);
    }
  }

  private authenticate(
    req: http.IncomingMessage,
  ): Result<RenderedAccount, refusals.Refusal> {
    const match = BEARER_PATTERN.exec(
      body.headerOf(req, 'authorization') ?? '',
    );
    if (match === null) {
      return fail(refusals.notRun('unauthorized', 'no bearer token'));
    }
    const digest = headers.sha256Hex(match[1]!);
    const account = this.context.follower.replica.accountByKeyDigest(digest);
    const held = account?.keyDigests.some(own =>
      headers.equalDigests(own, digest),
    );
    return account !== undefined && held
      ? ok(account)
      : fail(refusals.notRun('unauthorized', 'the API key is not known'));
  }

  private readBody(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    maxBytes: number,
  ): Promise<Result<Buffer, body.BodyError>> {
    return heldBody.readCallerBody(req, res, maxBytes, this.context.held);
  }

  private async parse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    account: RenderedAccount,
  ): Promise<Result<ParsedRequest, refusals.Refusal>> {
    const url = req.url ?? '/';
    const path = url.split('?')[0]!;
    if (path === chatRequest.CHAT_PATH) {
      return this.parseChat(req, res, account);
    }
    if (path === KEYS_PATH) {
      return this.parseKeys(req, res, account);
    }
    return this.parseService(req, res, account, url);
  }

  private async parseChat(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    account: RenderedAccount,
  ): Promise<Result<ParsedRequest, refusals.Refusal>> {
    const lastEventId = body.headerOf(req, 'last-event-id');
    if (lastEventId !== undefined) {
      req.resume();
      return ok(
        this.withPlainRefusal(
          account.parameters.timeoutMs,
          'reconnect',
          caller => entryChat.reconnect(this.context, caller, lastEventId),
        ),
      );
    }
    if (req.method !== 'POST') {
      return fail(refusals.notRun('method-not-allowed', 'use POST'));
    }
    const read = await this.readBody(req, res, headers.MAX_REQUEST_BYTES);
    if (!read.ok) {
      return fail(responses.bodyRefusal(read.error));
    }
    const chat = chatRequest.parseChat(read.value);
    if (!chat.ok) {
      return chat;
    }
    const {template, parameters} = account;
    const model = template.models[chat.value.model];
    if (model === undefined) {
      const detail = `no model ${chat.value.model} for this account`;
      return fail(refusals.notRun('not-found', detail));
    }
    const classTimeoutMs = template.classes[model.class]!.timeoutMs;
    const timeoutMs = Math.min(classTimeoutMs, parameters.timeoutMs);
    return ok(
      this.withPlainRefusal(timeoutMs, `chat ${chat.value.model}`, caller =>
        entryChat.runChat(this.context, caller, chat.value, read.value),
      ),
    );
  }

  private async parseKeys(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    account: RenderedAccount,
  ): Promise<Result<ParsedRequest, refusals.Refusal>> {
    const maxBytes = 4_096;
    const read = await this.readBody(req, res, maxBytes);
    const json = read.ok ? body.parseJsonBytes(read.value) : read;
    if (!json.ok) {
      return fail(responses.bodyRefusal(json.error));
    }
    const parsed = v.safeParse(keysRequestSchema, json.value);
    if (!parsed.success) {
      const detail = parsed.issues[0].message;
      return fail(refusals.notRun('bad-request', detail));
    }
    const {service, count} = parsed.output;
    const settings = account.template.services[service];
    if (settings === undefined) {
      return fail(refusals.notRun('not-found', `no service ${service}`));
    }
    return ok(
      this.withPlainRefusal(settings.timeoutMs, 'request keys', caller =>
        this.sendKeys(caller, service, count, settings.slots),
      ),
    );
  }

  private async sendKeys(
    caller: entry.CallerRequest,
    service: string,
    count: number,
    slots: number,
  ): Promise<void> {
    const mintedKeys = await this.context.owners.mintKeys(
      service,
      count,
      slots,
      id => this.context.targets.isLive(id),
      Date.now(),
    );
    if (mintedKeys.length === 0) {
      const refusal = refusals.notRun(
        'no-target',
        'no slot of the service has a live owner',
        NO_OWNER_RETRY_AFTER_MS,
      );
      entry.refuseCaller(this.context, caller, refusal);
      return;
    }
    caller.journalEntry.outcome = 'done';
    body.sendJson(caller.res, 200, {keys: mintedKeys});
  }

  private async parseService(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    account: RenderedAccount,
    url: string,
  ): Promise<Result<ParsedRequest, refusals.Refusal>> {
    const slash = url.indexOf('/', 1);
    const service = url.slice(1, slash < 0 ? undefined : slash);
    const settings = account.template.services[service];
    if (settings === undefined || slash < 0) {
      req.resume();
      return fail(refusals.notRun('not-found', `no resource at ${url}`));
    }
    const read = await this.readBody(req, res, headers.MAX_REQUEST_BYTES);
    if (!read.ok) {
      return fail(responses.bodyRefusal(read.error));
    }
    const call: entryService.ServiceCall = {
      service,
      settings,
      method: req.method ?? 'GET',
      path: url.slice(slash),
      key: body.headerOf(req, headers.KEY_HEADER),
      payload: read.value.length > 0 ? read.value : undefined,
    };
    const {parameters} = account;
    return ok({
      timeoutMs: Math.min(settings.timeoutMs, parameters.timeoutMs),
      summary: `${call.method} ${url.split('?')[0]}`,
      run: caller => entryService.runService(this.context, caller, call),
      refuse: (caller, refusal) =>
        entryService.refuseKeyed(this.context, caller, call, refusal),
    });
  }

  private withPlainRefusal(
    timeoutMs: number,
    summary: string,
    run: ParsedRequest['run'],
  ): ParsedRequest {
    return {
      timeoutMs,
      summary,
      run,
      refuse: async (caller, refusal) =>
        entry.refuseCaller(this.context, caller, refusal),
    };
  }

  private refuseEarly(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    id: string,
    refusal: refusals.Refusal,
  ): void {
    this.context.log.event('badInput', {request: id, kind: refusal.kind});
    this.context.metrics.countRefusal('', refusal.kind);
    // The body may be unread, so the connection cannot be reused.
    res.setHeader('connection', 'close');
    refusals.sendRefusal(
      res,
      refusals.withUnconfirmedOutcome(req, refusal),
      id,
    );
  }
}
