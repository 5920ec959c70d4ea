/** Settings of the processes of a site. */
import type {ConnectionLimits} from '../http/connection-limits';
import type {WarmUpBounds} from '../targets/warm-up-limit';

/** Limits on the retries that all entries of a site may make together. */
export interface RetryBudgetSettings {
  /** Retries allowed per request of the window. */
  readonly share: number;
  readonly windowMs: number;
  /** Retries allowed in a window in addition to the share. */
  readonly extra: number;
}

/** Shares of scarce capacity, as the operator sets them. */
export interface AdmissionSettings {
  /**
   * All services with an objective have admission by rank and shared capacity;
   * false: only those whose routes with an objective differ in priority.
   */
  readonly isEnabled: boolean;
  /** Weights of client accounts among those of a priority; others have 1. */
  readonly weights: ReadonlyMap<string, number>;
  /**
   * Minimum share of the starts that each lower priority gets while several
   * priorities wait; 0 to 1.
   */
  readonly floorShare: number;
}

export const DEFAULT_ADMISSION: AdmissionSettings = {
  isEnabled: false,
  weights: new Map(),
  floorShare: 0.1,
};

export interface SiteSettings {
  readonly id: string;
  /** IP address of the instance. */
  readonly host: string;
  readonly hall: string;
  /** Port for calls between the system's own processes. */
  readonly rpcPort: number;
  readonly metricsPort: number;
  /** Address at which an entry listens for callers. */
  readonly callersAddress: string | undefined;
  /** Address of an entry's readiness check. */
  readonly readyAddress: string | undefined;
  /** Addresses at which some other entries take calls; may be stale. */
  readonly seeds: readonly string[];
  readonly storeAddress: string;
  /** The target beside a sidecar. */
  readonly targetAddress: string | undefined;
  readonly targetService: string | undefined;
  /** Time within which a leaving target gets no more work. */
  readonly drainMs: number;
  /** Time from the start of a planned stop to the kill. */
  readonly gracePeriodMs: number;
  /** Time within which a revoked API key must stop working. */
  readonly revocationMs: number;
  /** False: while the store is unreachable, keys go on working for longer. */
  readonly isRevocationStrict: boolean;
  readonly retryBudget: RetryBudgetSettings;
  readonly admission: AdmissionSettings;
  /** Time without progress of a group after which its requests are aborted. */
  readonly stallMs: number;
  /** Maximum requests to a cold target, from all entries together. */
  readonly warmUpBounds: WarmUpBounds;
  /** Memory limit of the process; undefined: not stated. */
  readonly memoryLimitBytes?: number;
  /** Maximum open descriptors of the process; undefined: not stated. */
  readonly descriptorLimit?: number;
  /** Undefined: the defaults. */
  readonly connectionLimits?: ConnectionLimits;
}
