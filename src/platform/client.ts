/**
 * Client of the platform's object API: conditional writes, lists and
 * long-poll watches.
 */
import type * as http from 'node:http';
import * as v from 'valibot';
import * as body from '../http/body';
import * as httpClient from '../http/client';
import {Result, fail, ok} from '../result';
import * as types from './types';

/** The store's limit on a value. */
export const MAX_VALUE_BYTES = 1024 * 1024;
const MAX_LISTING_BYTES = 64 * 1024 * 1024;
const CALL_TIMEOUT_MS = 3_000;
const WATCH_GRACE_MS = 3_000;

/** The object API that the rest of the system uses. */
export abstract class ObjectApi {
  /** Returns null if the object does not exist. */
  abstract get(
    key: string,
  ): Promise<Result<types.StoredObject | null, types.PlatformError>>;

  /**
   * Writes if the object's version is still `expected` (0: it must not
   * exist). Returns the new version. Fails with `conflict`,
   * `unavailable` (the write may have taken effect) or `value-too-large`.
   */
  abstract put(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, types.PlatformError>>;

  abstract list(
    prefix: string,
  ): Promise<Result<types.Listing, types.PlatformError>>;

  /**
   * Waits up to `waitMs` for changes after a revision. Fails with
   * `watch-too-old` if the store no longer holds the history since then. With
   * `isOnNewConnection`, no kept connection is used.
   */
  abstract watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
    isOnNewConnection?: boolean,
  ): Promise<Result<types.Listing, types.PlatformError>>;

  /** The platform's list of instances, which lags behind. */
  abstract instances(): Promise<
    Result<readonly types.Instance[], types.PlatformError>
  >;

  abstract close(): void;
}

/** What a call to the store needs besides its target. */
export interface CallExtra extends Pick<
  httpClient.Call,
  'body' | 'headers' | 'signal'
> {
  readonly isOnNewConnection?: boolean;
}

/** The object API over HTTP. */
export class HttpObjectApi extends ObjectApi {
  private readonly agent: http.Agent = httpClient.makeAgent();

  constructor(private readonly address: string) {
    super();
  }

  async get(key: string) {
    const answer = await this.call('GET', objectPath(key), CALL_TIMEOUT_MS);
    if (!answer.ok) {
      return answer;
    }
    if (answer.value.status === 404) {
      return ok(null);
    }
    return parseAnswer(types.objectSchema, answer.value);
  }

  async put(key: string, value: unknown, expected: number) {
    const text = JSON.stringify(value);
    if (Buffer.byteLength(text) > MAX_VALUE_BYTES) {
      return fail({
        kind: 'value-too-large' as const,
        limitBytes: MAX_VALUE_BYTES,
      });
    }
    const answer = await this.call('PUT', objectPath(key), CALL_TIMEOUT_MS, {
      body: text,
      headers: {
        'content-type': 'application/json',
        'if-match': `"${expected}"`,
      },
    });
    if (!answer.ok) {
      return answer;
    }
    if (answer.value.status === 412) {
      return fail(readConflict(answer.value));
    }
    const parsed = parseAnswer(types.putAnswerSchema, answer.value);
    return parsed.ok ? ok(parsed.value.version) : parsed;
  }

  async list(prefix: string) {
    const path = `/v1/objects?prefix=${encodeURIComponent(prefix)}`;
    const answer = await this.call('GET', path, CALL_TIMEOUT_MS);
    return answer.ok ? parseAnswer(types.listingSchema, answer.value) : answer;
  }

  async watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
    isOnNewConnection = false,
  ) {
    const path =
      `/v1/watch?prefix=${encodeURIComponent(prefix)}` +
      `&after=${after}&wait-ms=${waitMs}`;
    const timeoutMs = waitMs + WATCH_GRACE_MS;
    const answer = await this.call('GET', path, timeoutMs, {
      signal,
      isOnNewConnection,
    });
    if (!answer.ok) {
      return answer;
    }
    if (answer.value.status === 410) {
      return fail({kind: 'watch-too-old' as const});
    }
    return parseAnswer(types.listingSchema, answer.value);
  }

  async instances() {
    const answer = await this.call('GET', '/v1/instances', CALL_TIMEOUT_MS);
    if (!answer.ok) {
      return answer;
    }
    const parsed = parseAnswer(types.instanceListSchema, answer.value);
    return parsed.ok ? ok(parsed.value.instances) : parsed;
  }

  close(): void {
    this.agent.destroy();
  }

  private async call(
    method: string,
    path: string,
    timeoutMs: number,
    {isOnNewConnection = false, ...extra}: CallExtra = {},
  ): Promise<Result<httpClient.HttpResponse, types.PlatformError>> {
    const call = {address: this.address, method, path, timeoutMs, ...extra};
    const answer = isOnNewConnection
      ? await httpClient.fetchOnNewConnection(call, MAX_LISTING_BYTES)
      : await httpClient.fetchBuffered(this.agent, call, MAX_LISTING_BYTES);
    if (!answer.ok) {
      return fail({
        kind: 'unavailable',
        maybeApplied: method !== 'GET' && answer.error.sent,
      });
    }
    if (answer.value.status >= 500) {
      return fail({kind: 'unavailable', maybeApplied: method !== 'GET'});
    }
    return answer;
  }
}

function objectPath(key: string): string {
  return '/v1/objects/' + key.split('/').map(encodeURIComponent).join('/');
}

function readConflict(answer: httpClient.HttpResponse): types.PlatformError {
  const schema = v.object({current: v.nullable(types.objectSchema)});
  const parsed = parseAnswer(schema, answer);
  return parsed.ok
    ? {kind: 'conflict', current: parsed.value.current}
    : parsed.error;
}

function parseAnswer<T>(
  schema: v.GenericSchema<unknown, T>,
  answer: httpClient.HttpResponse,
): Result<T, types.PlatformError> {
  const json = body.parseJsonBytes(answer.body);
  if (!json.ok) {
    return fail({
      kind: 'bad-answer',
      detail: `response with status ${answer.status} is not JSON`,
    });
  }
  const parsed = v.safeParse(schema, json.value);
  return parsed.success
    ? ok(parsed.output)
    : fail({
        kind: 'bad-answer',
        detail: parsed.issues[0]?.message ?? 'does not match the schema',
      });
}
