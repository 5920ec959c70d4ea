/** Methods between the system's own processes, declared by schema. */
import * as v from 'valibot';

/** One method: name, shape of its parameters, shape of its result. */
export interface Method<P, R> {
  readonly name: string;
  readonly params: v.GenericSchema<unknown, P>;
  readonly result: v.GenericSchema<unknown, R>;
}

/** Declares a method. */
export function method<P, R>(
  name: string,
  params: v.GenericSchema<unknown, P>,
  result: v.GenericSchema<unknown, R>,
): Method<P, R> {
  return {name, params, result};
}

/** Why a call gave no result. */
export type RpcError =
  /** `sent` false: the peer certainly saw nothing. */
  | {readonly kind: 'unreachable'; readonly sent: boolean}
  /** The peer answered with an error of its own. */
  | {readonly kind: 'rejected'; readonly code: number; readonly text: string}
  | {readonly kind: 'bad-result'; readonly detail: string};

/** Path of the RPC face on every process. */
export const RPC_PATH = '/rpc';
/** Cap on a request or an answer. */
export const MAX_RPC_BYTES = 8 * 1024 * 1024;
/** Header that carries a process's configuration stamp. */
export const STAMP_HEADER = 'ferrycleat-stamp';
/** Header with the address a process can be called back at. */
export const PEER_HEADER = 'ferrycleat-peer';

/** What calls between processes tell about configuration on the way. */
export interface StampExchange {
  /** This process's stamp. */
  ownStamp(): string;
  /** Called with each stamp that a peer sent; empty address: unknown. */
  onPeerStamp(stamp: string, address: string): void;
}

/** Exchange of a process that holds no configuration. */
export const NO_STAMPS: StampExchange = {
  ownStamp: () => '',
  onPeerStamp: () => undefined,
};
