/**
 * The targets an entry knows: the platform's lagging list adds them and
 * marks them leaving, the sidecars' own word goes first. The entry keeps the
 * state of its subset only, and of all others no more than where they are.
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
  /** What this entry sent lately. */
  readonly sent: SentLog;
  /** Requests of this entry that are at the target now. */
  inFlight: number;
}

/** Where a target is: all that an entry keeps of one it doesn't use. */
export interface TargetLocation {
  readonly id: string;
  readonly address: string;
  readonly hall: string;
}

/** Between two looks for a target that is waited for, in milliseconds. */
const LOOKUP_INTERVAL_MS = 100;
/** How long a sidecar's own word outlives the platform's list. */
const LEAVING_RETENTION_MS = 60_000;

/**
 * The targets that one entry uses: the entry's own ranking within each thing
 * that is served, so a target that comes or goes changes one place at most.
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
  /** Where each target of the list is, by id: 3,200 at the size to build for. */
  private locations: ReadonlyMap<string, TargetLocation> = new Map();
  private readonly leavingAt = new Map<string, number>();
  private readonly cooldowns = new CooldownTracker();

  constructor(
    private readonly entryId: string,
    private readonly subsetSize: () => number,
  ) {}

  /** Takes over the platform's list. Answers targets to ask for a report. */
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
    const ids = new Set(this.subsetLocations.map(instance => instance.id));
    for (const [id, target] of this.targets) {
      if (!ids.has(id) && target.inFlight === 0) {
        this.targets.delete(id);
      }
    }
    return this.subsetLocations;
  }

  /** The members of the subset, with or without a report. */
  get subset(): readonly TargetLocation[] {
    return this.subsetLocations;
  }

  /** Takes over a sidecar's own word. */
  applyReport(report: types.TargetReport, now: number): void {
    const held = this.targets.get(report.id);
    const target = held?.address === report.address ? held : undefined;
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

  /** Takes over the load that an answer carried. */
  applyLoad(target: Target, load: types.Load, now: number): void {
    target.load = load;
    target.loadAt = now;
  }

  /** No new work for this target from now on. */
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

  /** A target of the subset that has told of itself. */
  reported(id: string): Target | undefined {
    return this.targets.get(id);
  }

  /**
   * Where a target is, used by this entry or not: a stream that began through
   * another entry goes on at any of them. Found by the subset alone, callers
   * who changed entries lost their streams in 4 of 65 runs beside load.
   */
  find(id: string): TargetLocation | undefined {
    return this.targets.get(id) ?? this.locations.get(id);
  }

  /**
   * Waits for a target that the platform's list doesn't name yet. Undefined
   * where it has not come within so many milliseconds, or at abort.
   */
  async waitFor(
    id: string,
    patienceMs: number,
    signal: AbortSignal,
  ): Promise<TargetLocation | undefined> {
    const giveUpAt = Date.now() + patienceMs;
    let found = this.find(id);
    while (found === undefined && Date.now() < giveUpAt && !signal.aborted) {
      await new Promise(resolve => setTimeout(resolve, LOOKUP_INTERVAL_MS));
      found = this.find(id);
    }
    return found;
  }

  /** Targets that may get new work for a model. */
  forModel(name: string): Target[] {
    return this.servingLive('model', name);
  }

  /** Targets that may get new work for a plain service. */
  forService(name: string): Target[] {
    return this.servingLive('service', name);
  }

  /**
   * A target has asked for so many milliseconds of rest, through its sidecar.
   * True where it was at none.
   */
  startCooldown(id: string, ms: number): boolean {
    return this.cooldowns.start(id, ms, performance.now());
  }

  /** Notes that a request goes to a target. */
  noteSent(id: string): void {
    this.cooldowns.noteSent(id, performance.now());
  }

  /** A target has taken a request that was sent at a monotonic time. */
  noteAccepted(id: string, sentAt: number): void {
    this.cooldowns.noteAccepted(id, sentAt, performance.now());
  }

  /** Those of some targets that are not held back. */
  filterAvailable(targets: readonly Target[]): readonly Target[] {
    return this.cooldowns.filterAvailable(
      targets,
      ({id}) => id,
      performance.now(),
    );
  }

  /** Milliseconds for which all of some targets are held back; 0: not all. */
  cooldownMs(targets: readonly Target[]): number {
    const now = performance.now();
    const waits = targets.map(({id}) => this.cooldowns.waitMs(id, now));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** Every target of the subset, in any state. */
  all(): Target[] {
    return [...this.targets.values()];
  }

  isLive(id: string): boolean {
    return this.targets.get(id)?.state === 'live';
  }

  private servingLive(kind: types.Serves['kind'], name: string): Target[] {
    return this.all().filter(
      target =>
        target.state === 'live' &&
        target.serves.kind === kind &&
        target.serves.name === name,
    );
  }
}
