/**
 * Tells crashes of targets from other losses of connections: nothing listens at the
 * address of a crashed target, or another lifetime does soon. Collects the requests
 * that were lost with it.
 */
import type {Target} from '../forwarding/types';
import * as bounded from '../bounded';
import * as crashCheck from './crash-check';
import type {OpenRequest} from './open-requests';

/** Losses on one lifetime within this time count as one crash. */
const CRASH_WINDOW_MS = 1_000;
/** Time within which a new lifetime at the address shows that the old one crashed. */
const REPLACEMENT_WINDOW_MS = 8_000;
const MAX_LIFETIMES = 1_024;

export interface LostRequest {
  readonly id: string;
  readonly fingerprints: readonly string[];
  readonly answeredMs: number;
}

/** Requests that were in flight to one lifetime when a connection was lost. */
interface Loss {
  readonly target: Target;
  readonly requests: LostRequest[];
  readonly at: number;
  readonly check: Promise<boolean>;
  isCrash: boolean;
}

export class CrashDetector {
  private readonly losses = new Map<string, Loss>();
  private isClosed = false;

  /** `onCrash` is called again for requests whose loss is noticed later. */
  constructor(
    private readonly onCrash: (
      target: Target,
      requests: readonly LostRequest[],
    ) => void,
  ) {}

  close(): void {
    this.isClosed = true;
  }

  /** The connection carrying a request was lost; true if the target has crashed. */
  noteLost(target: Target, request: OpenRequest): Promise<boolean> {
    const now = performance.now();
    const {id, fingerprints, answeredMs} = request;
    const lost = {id, fingerprints, answeredMs};
    const previous = this.losses.get(target.lifetime);
    if (previous !== undefined && now - previous.at < CRASH_WINDOW_MS) {
      previous.requests.push(lost);
      if (previous.isCrash) {
        this.onCrash(target, [lost]);
      }
      return previous.check;
    }
    const requests = [lost];
    const check = crashCheck.hasCrashed(target.address);
    const loss = {target, requests, at: now, check, isCrash: false};
    this.losses.delete(target.lifetime);
    this.losses.set(target.lifetime, loss);
    bounded.dropOldest(this.losses, MAX_LIFETIMES);
    setTimeout(() => this.expire(loss), REPLACEMENT_WINDOW_MS).unref();
    void check.then(hasCrashed => hasCrashed && this.markCrashed(loss));
    return check;
  }

  /** A target has joined: one that was at its address before has ended. */
  noteJoined(target: Target): void {
    for (const loss of this.losses.values()) {
      const {address, lifetime} = loss.target;
      if (address === target.address && lifetime !== target.lifetime) {
        this.markCrashed(loss);
      }
    }
  }

  private markCrashed(loss: Loss): void {
    if (!loss.isCrash && !this.isClosed) {
      loss.isCrash = true;
      this.onCrash(loss.target, loss.requests);
    }
  }

  private expire(loss: Loss): void {
    if (this.losses.get(loss.target.lifetime) === loss) {
      this.losses.delete(loss.target.lifetime);
    }
  }
}
