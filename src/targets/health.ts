/**
 * Passive health of one target, from the answers an entry saw: failures and
 * answers far slower than its peers' eject it for a while; a single probe
 * request lets it back in. Pure over a clock reading.
 */

/** Settings of the ejection. */
export interface HealthSettings {
  readonly failuresToEject: number;
  readonly firstEjectionMs: number;
  readonly maxEjectionMs: number;
}

export const DEFAULT_HEALTH_SETTINGS: HealthSettings = {
  failuresToEject: 3,
  firstEjectionMs: 1_000,
  maxEjectionMs: 30_000,
};

/** `probing`: one request may try the target. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

const EJECTION_BACKOFF_FACTOR = 2;

export class Health {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil = 0;
  private isProbeInFlight = false;

  constructor(
    private readonly settings: HealthSettings = DEFAULT_HEALTH_SETTINGS,
  ) {}

  stateAt(now: number): HealthState {
    if (this.ejections === 0 || this.ejectedUntil === 0) {
      return 'healthy';
    }
    if (now < this.ejectedUntil || this.isProbeInFlight) {
      return 'ejected';
    }
    return 'probing';
  }

  /** Notes that a request was sent to a target that is being probed. */
  noteProbe(): void {
    this.isProbeInFlight = true;
  }

  /** True where this success lets the target back in. */
  noteSuccess(): boolean {
    const wasOut = this.ejectedUntil !== 0;
    this.failures = 0;
    this.ejectedUntil = 0;
    this.isProbeInFlight = false;
    if (!wasOut) {
      this.ejections = Math.max(0, this.ejections - 1);
    }
    return wasOut;
  }

  /** True where this failure ejects the target; `allowed` caps the share. */
  noteFailure(now: number, allowed: boolean): boolean {
    const wasProbe = this.isProbeInFlight;
    this.isProbeInFlight = false;
    this.failures += 1;
    const isOut = this.ejectedUntil !== 0;
    const enough = this.failures >= this.settings.failuresToEject;
    if ((!enough && !wasProbe) || (!isOut && !allowed)) {
      return false;
    }
    this.eject(now);
    return true;
  }

  /** Ejects at once, for instance for its step time. */
  eject(now: number): void {
    const {firstEjectionMs, maxEjectionMs} = this.settings;
    const termMs = firstEjectionMs * EJECTION_BACKOFF_FACTOR ** this.ejections;
    this.ejectedUntil = now + Math.min(termMs, maxEjectionMs);
    this.ejections += 1;
    this.failures = 0;
  }
}
