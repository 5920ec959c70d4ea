/**
 * The targets known to an entry, from the platform's instance list and from the
 * sidecars' reports, which are more recent. The entry keeps the state of its
 * subset only; for all other targets it keeps their locations.
 */
import type {Instance} from '../platform/types';
import * as rendezvous from '../routing/rendezvous';
import {Health} from './health';
import {CooldownTracker} from './cooldown-tracker';
import {SentLog} from './sent-log';
import * as types from './types';

/** One target of the subset. */
export interface Target {
  readonly id: string;
  readonly address: string;
  readonly hall: string;
  readonly serves: types.Serves;
  readonly health: Health;
  state: types.TargetState;
  load: types.Load;
  /** Unix milliseconds of the load's report. */
  loadAt: number;
  /** What this entry sent recently. */
  readonly sent: SentLog;
  /** Number of this entry's requests in flight to the target. */
  inFlight: number;
}

/** Where a target is reached. */
export interface TargetLocation {
  readonly id: string;
  readonly address: string;
  readonly hall: string;
}

const LOOKUP_INTERVAL_MS = 100;
const LEAVING_RETENTION_MS = 60_000;
/**
 * A target that the list lacks is used for this long, unless it is leaving: a
 * replica of the list that lags may show a time before the target was listed.
 */
const ABSENCE_GRACE_MS = 3_000;

/**
 * The targets that one entry uses, chosen by rendezvous hashing for each model or
 * service, so that an added or removed target changes at most one place.
 */
export function chooseSubset(
  entryId: string,
  live: readonly Instance[],
  size: number,
): Instance[] {
  const byServes = new Map<string, Instance[]>();
  for (const instance of live) {
    const group = byServes.get(instance.serves) ?? [];
    group.push(instance);
    byServes.set(instance.serves, group);
  }
  return [...byServes.values()].flatMap(group =>
    rendezvous.topByKey(entryId, group, instance => instance.id, size),
  );
}

export class TargetDirectory {
  private readonly targets = new Map<string, Target>();
  private subsetLocations: readonly TargetLocation[] = [];
  /** By target id, for the platform's whole list. */
  private locations: ReadonlyMap<string, TargetLocation> = new Map();
  private readonly leavingAt = new Map<string, number>();
  /** Monotonic times since which the list lacks known targets. */
  private readonly absentSince = new Map<string, number>();
  private readonly cooldowns = new CooldownTracker();

  constructor(
    private readonly entryId: string,
    private readonly subsetSize: () => number,
  ) {}

  /** Applies the platform's list; returns the targets of the subset. */
  applyInstances(instances: readonly Instance[]): readonly TargetLocation[] {
    const sidecars = instances.filter(i => i.role === 'sidecar');
    const live = sidecars.filter(i => i.state === 'live');
    for (const instance of sidecars) {
      if (instance.state === 'leaving') {
        this.markLeaving(instance.id);
      }
    }
    this.locations = new Map(
      sidecars.map(({id, address, hall}) => [id, {id, address, hall}]),
    );
    this.subsetLocations = chooseSubset(this.entryId, live, this.subsetSize());
    this.noteAbsences();
    const ids = new Set(this.subset.map(instance => instance.id));
    for (const [id, target] of this.targets) {
      if (!ids.has(id) && target.inFlight === 0) {
        this.targets.delete(id);
        this.absentSince.delete(id);
      }
    }
    return this.subset;
  }

  /** The members of the subset, with or without a report. */
  get subset(): readonly TargetLocation[] {
    if (this.absentSince.size === 0) {
      return this.subsetLocations;
    }
    const absent = this.all().filter(
      ({id}) => this.absentSince.has(id) && this.isUsable(id),
    );
    return [...this.subsetLocations, ...absent];
  }

  applyReport(report: types.TargetReport, now: number): void {
    const previous = this.targets.get(report.id);
    const target = previous?.address === report.address ? previous : undefined;
    this.targets.set(report.id, {
      id: report.id,
      address: report.address,
      hall: report.hall,
      serves: report.serves,
      health: target?.health ?? new Health(),
      state: report.state,
      load: report.load,
      loadAt: now,
      sent: target?.sent ?? new SentLog(),
      inFlight: target?.inFlight ?? 0,
    });
    if (report.state === 'live') {
      this.leavingAt.delete(report.id);
    }
  }

  applyLoad(target: Target, load: types.Load, now: number): void {
    target.load = load;
    target.loadAt = now;
  }

  /** Stops new requests to this target. */
  markLeaving(id: string, now = Date.now()): void {
    this.leavingAt.set(id, now);
    const target = this.targets.get(id);
    if (target !== undefined) {
      target.state = 'leaving';
    }
    for (const [other, at] of this.leavingAt) {
      if (at + LEAVING_RETENTION_MS < now) {
        this.leavingAt.delete(other);
      }
    }
  }

  /** A target whose report was received. */
  reported(id: string): Target | undefined {
    return this.targets.get(id);
  }

  /**
   * Finds a target in or outside the subset: a caller may resume a stream here
   * that it started through another entry. With the subset alone, some callers
   * that changed entries lost their streams.
   */
  find(id: string): TargetLocation | undefined {
    return this.targets.get(id) ?? this.locations.get(id);
  }

  /**
   * Waits until a target appears in the platform's list. Undefined on time-out or
   * abort.
   */
  async waitFor(
    id: string,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<TargetLocation | undefined> {
    const timeoutAt = Date.now() + timeoutMs;
    let found = this.find(id);
    while (found === undefined && Date.now() < timeoutAt && !signal.aborted) {
      await new Promise(resolve => setTimeout(resolve, LOOKUP_INTERVAL_MS));
      found = this.find(id);
    }
    return found;
  }

  /** Live targets of a model. */
  forModel(name: string): Target[] {
    return this.servingLive('model', name);
  }

  /** Live targets of a service. */
  forService(name: string): Target[] {
    return this.servingLive('service', name);
  }

  /** Starts or extends a target's cooldown; true if none was active. */
  startCooldown(id: string, ms: number): boolean {
    return this.cooldowns.start(id, ms, performance.now());
  }

  /** Records a request to a target. */
  noteSent(id: string): void {
    this.cooldowns.noteSent(id, performance.now());
  }

  /** Records an accepted request, sent at monotonic time `sentAt`. */
  noteAccepted(id: string, sentAt: number): void {
    this.cooldowns.noteAccepted(id, sentAt, performance.now());
  }

  /** The targets that no cooldown holds back. */
  filterAvailable(targets: readonly Target[]): readonly Target[] {
    return this.cooldowns.filterAvailable(
      targets,
      ({id}) => id,
      performance.now(),
    );
  }

  /** Milliseconds until the first target is available; 0 if one is or none is given. */
  cooldownMs(targets: readonly Target[]): number {
    const now = performance.now();
    const waits = targets.map(({id}) => this.cooldowns.waitMs(id, now));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** All targets whose report was received, in any state. */
  all(): Target[] {
    return [...this.targets.values()];
  }

  isLive(id: string): boolean {
    return this.targets.get(id)?.state === 'live';
  }

  private noteAbsences(): void {
    const now = performance.now();
    for (const id of this.targets.keys()) {
      if (this.locations.has(id)) {
        this.absentSince.delete(id);
      } else if (!this.absentSince.has(id)) {
        this.absentSince.set(id, now);
      }
    }
  }

  /** False for a target that is leaving or that the list has lacked for long. */
  private isUsable(id: string): boolean {
    const absentSince = this.absentSince.get(id) ?? Infinity;
    return (
      !this.leavingAt.has(id) &&
      performance.now() - absentSince <= ABSENCE_GRACE_MS
    );
  }

  private servingLive(kind: types.Serves['kind'], name: string): Target[] {
    return this.all().filter(
      target =>
        target.state === 'live' &&
        this.isUsable(target.id) &&
        target.serves.kind === kind &&
        target.serves.name === name,
    );
  }
}
