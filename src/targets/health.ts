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

export const DEFAULT_HEALTH: HealthSettings = {
  failuresToEject: 3,
  firstEjectionMs: 1_000,
  maxEjectionMs: 30_000,
};

/** `probing`: one request may try the target. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

const EJECTION_GROWTH = 2;

export class Health {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil = 0;
  private probeOut = false;

  constructor(private readonly settings: HealthSettings = DEFAULT_HEALTH) {}

  stateAt(now: number): HealthState {
    if (this.ejections === 0 || this.ejectedUntil === 0) {
      return 'healthy';
    }
    if (now < this.ejectedUntil || this.probeOut) {
      return 'ejected';
    }
    return 'probing';
  }

  /** Notes that a request was sent to a target that is being probed. */
  noteProbe(): void {
    this.probeOut = true;
  }

  /** True where this success lets the target back in. */
  noteSuccess(): boolean {
    const wasOut = this.ejectedUntil !== 0;
    this.failures = 0;
    this.ejectedUntil = 0;
    this.probeOut = false;
    if (!wasOut) {
      this.ejections = Math.max(0, this.ejections - 1);
    }
    return wasOut;
  }

  /** True where this failure ejects the target; `allowed` caps the share. */
  noteFailure(now: number, allowed: boolean): boolean {
    const wasProbe = this.probeOut;
    this.probeOut = false;
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
    const termMs = firstEjectionMs * EJECTION_GROWTH ** this.ejections;
    this.ejectedUntil = now + Math.min(termMs, maxEjectionMs);
    this.ejections += 1;
    this.failures = 0;
  }
}
