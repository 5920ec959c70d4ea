/** What a process needs to know of the site that it runs at. */

/** Bounds of the retries that all entries of a site may make together. */
export interface RetryBudgetSettings {
  /** Retries per request of the window. */
  readonly share: number;
  readonly windowMs: number;
  /** Retries in a window beside the share. */
  readonly extra: number;
}

export interface SiteSettings {
  /** Name of the instance. */
  readonly id: string;
  /** IP address of the instance. */
  readonly host: string;
  readonly hall: string;
  /** Port for calls between the system's own processes. */
  readonly rpcPort: number;
  readonly metricsPort: number;
  /** Where an entry listens for callers. */
  readonly callersAddress: string | undefined;
  /** Where an entry tells whether it is ready. */
  readonly readyAddress: string | undefined;
  /** Calls between entries: where some others take them; may be stale. */
  readonly seeds: readonly string[];
  readonly storeAddress: string;
  /** The target that a sidecar stands beside. */
  readonly targetAddress: string | undefined;
  readonly targetService: string | undefined;
  /** Time within which a leaving target gets no more work. */
  readonly drainMs: number;
  /** Time from a planned stop to the kill. */
  readonly gracePeriodMs: number;
  /** Time within which a key that was taken away must stop working. */
  readonly revocationMs: number;
  /** False: while the store is away, keys go on working for longer. */
  readonly isRevocationStrict: boolean;
  readonly retryBudget: RetryBudgetSettings;
  /** Time that a group stands still before its requests are cut. */
  readonly stallMs: number;
}
