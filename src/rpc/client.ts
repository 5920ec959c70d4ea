/** JSON-RPC client for calls to other processes. */
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

export class RpcClient {
  private readonly agent: http.Agent = httpClient.makeAgent();

  constructor(
    private readonly stamps: types.StampExchange = types.NO_STAMPS,
    private readonly ownAddress: () => string = () => '',
  ) {}

  /**
   * Calls a method of the process at `address`. `timeoutMs` applies to the
   * response headers and to its body separately. Fails with `unreachable`,
   * `rejected` or `bad-result`.
   */
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
      const result: unknown = await client.request(method.name, params);
      return parseResult(method, result);
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
    const encoded = coding.encode(request);
    const response = await httpClient.fetchBuffered(
      this.agent,
      {
        address,
        method: 'POST',
        path: types.RPC_PATH,
        headers: {
          ...encoded.headers,
          [types.STAMP_HEADER]: this.stamps.ownStamp(),
          [types.PEER_HEADER]: this.ownAddress(),
        },
        body: encoded.bytes,
        timeoutMs,
        signal,
      },
      types.MAX_RPC_BYTES,
    );
    if (!response.ok) {
      throw new RpcCallError({kind: 'unreachable', sent: response.error.sent});
    }
    const stamp = response.value.headers[types.STAMP_HEADER];
    if (typeof stamp === 'string' && stamp !== '') {
      this.stamps.onPeerStamp(stamp, address);
    }
    const {headers} = response.value;
    const parsed = coding.decode(
      response.value.body,
      headers['content-encoding'],
    );
    if (!parsed.ok || response.value.status !== 200) {
      const detail = `status ${response.value.status}`;
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
  const detail =
    parsed.issues[0]?.message ?? 'result does not match its schema';
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
