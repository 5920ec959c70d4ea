/**
 * Passive health check of one target: consecutive failures eject it for a growing
 * time, after which one probe request decides whether it returns. Takes the time
 * as an argument.
 */

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

/** `probing`: one request may be sent as a probe. */
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

  /** Records that the probe request was sent. */
  noteProbe(): void {
    this.isProbeInFlight = true;
  }

  /** Records a success; true if it ends an ejection. */
  noteSuccess(): boolean {
    const wasEjected = this.ejectedUntil !== 0;
    this.failures = 0;
    this.ejectedUntil = 0;
    this.isProbeInFlight = false;
    if (!wasEjected) {
      this.ejections = Math.max(0, this.ejections - 1);
    }
    return wasEjected;
  }

  /**
   * Records a failure; true if it ejects the target. `allowed` is false while too
   * many targets are ejected.
   */
  noteFailure(now: number, allowed: boolean): boolean {
    const wasProbe = this.isProbeInFlight;
    this.isProbeInFlight = false;
    this.failures += 1;
    const isEjected = this.ejectedUntil !== 0;
    const hasFailedEnough = this.failures >= this.settings.failuresToEject;
    if ((!hasFailedEnough && !wasProbe) || (!isEjected && !allowed)) {
      return false;
    }
    this.eject(now);
    return true;
  }

  /** Ejects the target at once. */
  eject(now: number): void {
    const {firstEjectionMs, maxEjectionMs} = this.settings;
    const durationMs =
      firstEjectionMs * EJECTION_BACKOFF_FACTOR ** this.ejections;
    this.ejectedUntil = now + Math.min(durationMs, maxEjectionMs);
    this.ejections += 1;
    this.failures = 0;
  }
}
