/** What the parts of a sidecar's data path share. */
import type * as http from 'node:http';
import type {Follower} from '../configuration/follower';
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type * as targets from '../targets/types';
import type {Admission} from './admission';

/** One sidecar and its target. */
export interface SidecarContext {
  readonly targetId: string;
  /** Address of the target's own HTTP face. */
  readonly targetAddress: string;
  readonly serves: targets.Serves;
  readonly follower: Follower;
  readonly admission: Admission;
  readonly agent: http.Agent;
  readonly log: Log;
  readonly metrics: Metrics;
  isLeaving(): boolean;
  load(): targets.Load;
}

/** A request as the entry passed it on. */
export interface Incoming {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly id: string;
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  /** True: the caller comes back as this target told it to. */
  readonly isReturning: boolean;
}

/** Milliseconds left until the deadline. */
export function timeLeft(incoming: Incoming): number {
  return Math.max(incoming.deadlineAt - Date.now(), 0);
}

/** A signal that fires when the peer goes away before the answer ended. */
export function abortOnClose(res: http.ServerResponse): AbortSignal {
  const abort = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) {
      abort.abort();
    }
  });
  return abort.signal;
}
