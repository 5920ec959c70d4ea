/** Declarations of RPC methods and the headers that calls carry. */
import * as v from 'valibot';

/** An RPC method: its name and the schemas of its parameters and result. */
export interface Method<P, R> {
  readonly name: string;
  readonly params: v.GenericSchema<unknown, P>;
  readonly result: v.GenericSchema<unknown, R>;
}

export function method<P, R>(
  name: string,
  params: v.GenericSchema<unknown, P>,
  result: v.GenericSchema<unknown, R>,
): Method<P, R> {
  return {name, params, result};
}

/** Why a call returned no result. */
export type RpcError =
  /** `sent` is false if the peer certainly received nothing. */
  | {readonly kind: 'unreachable'; readonly sent: boolean}
  /** The peer returned a JSON-RPC error. */
  | {readonly kind: 'rejected'; readonly code: number; readonly text: string}
  /** The response is not JSON-RPC, or the result does not match its schema. */
  | {readonly kind: 'bad-result'; readonly detail: string};

/** HTTP path of the RPC server in every process. */
export const RPC_PATH = '/rpc';
/** Maximum size of a request or response body. */
export const MAX_RPC_BYTES = 8 * 1024 * 1024;
/** Header with the version stamp of the sender's configuration replica. */
export const STAMP_HEADER = 'ferrycleat-stamp';
/** Header with the address on which the sender listens. */
export const PEER_HEADER = 'ferrycleat-peer';

/** Exchanges configuration stamps between processes in the headers of calls. */
export interface StampExchange {
  /** The stamp of this process's configuration replica. */
  ownStamp(): string;
  /** Called with each stamp received; `address` is empty if not known. */
  onPeerStamp(stamp: string, address: string): void;
}

/** For a process that holds no configuration. */
export const NO_STAMPS: StampExchange = {
  ownStamp: () => '',
  onPeerStamp: () => undefined,
};
