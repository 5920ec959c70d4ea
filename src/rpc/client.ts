/** JSON-RPC calls to other processes. */
import type * as http from 'node:http';
import {JSONRPCClient, JSONRPCErrorException} from 'json-rpc-2.0';
import type {JSONRPCRequest, JSONRPCResponse} from 'json-rpc-2.0';
import * as v from 'valibot';
import * as httpClient from '../http/client';
import {Result, fail, ok} from '../result';
import * as coding from './coding';
import * as types from './types';

const DEFAULT_TIMEOUT_MS = 2_000;

class RpcCallError extends Error {
  constructor(readonly failure: types.RpcError) {
    super(failure.kind);
  }
}

/** Calls methods at addresses. */
export class RpcClient {
  private readonly agent: http.Agent = httpClient.makeAgent();

  constructor(
    private readonly stamps: types.StampExchange = types.NO_STAMPS,
    private readonly ownAddress: () => string = () => '',
  ) {}

  /** Calls a method. Fails with `unreachable`, `rejected`, `bad-result`. */
  async call<P, R>(
    address: string,
    method: types.Method<P, R>,
    params: P,
    timeoutMs = DEFAULT_TIMEOUT_MS,
    signal?: AbortSignal,
  ): Promise<Result<R, types.RpcError>> {
    const client: JSONRPCClient = new JSONRPCClient(async request => {
      client.receive(await this.post(address, request, timeoutMs, signal));
    });
    try {
      const raw: unknown = await client.request(method.name, params);
      return parseResult(method, raw);
    } catch (err) {
      return fail(toRpcError(err));
    }
  }

  close(): void {
    this.agent.destroy();
  }

  private async post(
    address: string,
    request: JSONRPCRequest,
    timeoutMs: number,
    signal: AbortSignal | undefined,
  ): Promise<JSONRPCResponse> {
    const coded = coding.encode(request);
    const answer = await httpClient.fetchBuffered(
      this.agent,
      {
        address,
        method: 'POST',
        path: types.RPC_PATH,
        headers: {
          ...coded.headers,
          [types.STAMP_HEADER]: this.stamps.ownStamp(),
          [types.PEER_HEADER]: this.ownAddress(),
        },
        body: coded.bytes,
        timeoutMs,
        signal,
      },
      types.MAX_RPC_BYTES,
    );
    if (!answer.ok) {
      throw new RpcCallError({kind: 'unreachable', sent: answer.error.sent});
    }
    const stamp = answer.value.headers[types.STAMP_HEADER];
    if (typeof stamp === 'string' && stamp !== '') {
      this.stamps.onPeerStamp(stamp, address);
    }
    const {headers} = answer.value;
    const parsed = coding.decode(
      answer.value.body,
      headers['content-encoding'],
    );
    if (!parsed.ok || answer.value.status !== 200) {
      const detail = `status ${answer.value.status}`;
      throw new RpcCallError({kind: 'bad-result', detail});
    }
    return parsed.value as JSONRPCResponse;
  }
}

function parseResult<P, R>(
  method: types.Method<P, R>,
  raw: unknown,
): Result<R, types.RpcError> {
  const parsed = v.safeParse(method.result, raw);
  if (parsed.success) {
    return ok(parsed.output);
  }
  const detail = parsed.issues[0]?.message ?? 'wrong shape';
  return fail({kind: 'bad-result', detail});
}

function toRpcError(err: unknown): types.RpcError {
  if (err instanceof RpcCallError) {
    return err.failure;
  }
  if (err instanceof JSONRPCErrorException) {
    return {kind: 'rejected', code: err.code, text: err.message};
  }
  return {kind: 'bad-result', detail: String(err)};
}
