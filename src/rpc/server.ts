/** JSON-RPC server of a process: schema-checked methods behind POST /rpc. */
import type * as http from 'node:http';
import {
  JSONRPCErrorCode,
  JSONRPCErrorException,
  JSONRPCServer,
} from 'json-rpc-2.0';
import type {JSONRPCRequest} from 'json-rpc-2.0';
import * as v from 'valibot';
import * as body from '../http/body';
import * as heldBody from '../http/held-body';
import {DEFAULT_BOUND_BYTES, HeldBytes} from '../http/held-bytes';
import {Log} from '../observability/log';
import * as coding from './coding';
import * as types from './types';

/** The calling process. */
export interface Peer {
  /** Address on which the caller listens; empty if it sent none. */
  readonly address: string;
}

export class RpcServer {
  private readonly server = new JSONRPCServer<Peer>({
    errorListener: () => undefined,
  });

  constructor(
    private readonly log: Log,
    private readonly stamps: types.StampExchange = types.NO_STAMPS,
    /** Counts the bodies of calls. */
    private readonly held = new HeldBytes(DEFAULT_BOUND_BYTES),
  ) {}

  /** Registers the handler of a method. */
  handle<P, R>(
    method: types.Method<P, R>,
    handler: (params: P, peer: Peer) => Promise<R> | R,
  ): void {
    this.server.addMethod(method.name, async (raw: unknown, peer: Peer) => {
      const parsed = v.safeParse(method.params, raw);
      if (!parsed.success) {
        throw this.reject(method.name, parsed.issues[0]?.message);
      }
      return handler(parsed.output, peer);
    });
  }

  /** Handles one HTTP request to `/rpc`. */
  async handleRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const peer = {address: body.headerOf(req, types.PEER_HEADER) ?? ''};
    const stamp = body.headerOf(req, types.STAMP_HEADER);
    if (stamp) {
      this.stamps.onPeerStamp(stamp, peer.address);
    }
    const bytes = await heldBody.readCallerBody(
      req,
      res,
      types.MAX_RPC_BYTES,
      this.held,
    );
    const read = bytes.ok
      ? coding.decode(bytes.value, body.headerOf(req, 'content-encoding'))
      : bytes;
    if (!read.ok) {
      this.log.event('rpcRejected', {error: read.error.kind});
      const status = read.error.kind === 'body-too-slow' ? 503 : 400;
      body.sendJson(res, status, {error: read.error});
      return;
    }
    const request = read.value as JSONRPCRequest;
    const response = await this.server.receive(request, peer);
    if (!res.headersSent && !res.destroyed) {
      const encoded = coding.encode(response ?? null);
      res.writeHead(200, {
        ...encoded.headers,
        'content-length': encoded.bytes.length,
        [types.STAMP_HEADER]: this.stamps.ownStamp(),
      });
      res.end(encoded.bytes);
    }
  }

  private reject(
    name: string,
    detail: string | undefined,
  ): JSONRPCErrorException {
    const text = detail ?? 'parameters do not match their schema';
    this.log.event('rpcRejected', {method: name, detail: text});
    return new JSONRPCErrorException(text, JSONRPCErrorCode.InvalidParams);
  }
}
