/**
 * Targets that requests may be sent to. A target that says that it leaves is
 * out at once and for good. One that vanishes from the list is out too,
 * except while its entry may just have lapsed in an outage of the store.
 */
import type {Target} from './types';

/**
 * How long after an outage entries that lapsed in it may stay away. Source:
 * the users' request: back within about two seconds of the store's return.
 */
export const LAPSE_GRACE_MS = 2_000;

/** Why a target is in or out. */
export type TargetChange =
  | {readonly kind: 'joined'; readonly target: Target}
  | {readonly kind: 'leaving'; readonly target: Target}
  | {readonly kind: 'gone'; readonly target: Target}
  /** Not on the list, but kept for a while after an outage. */
  | {readonly kind: 'missing'; readonly target: Target};

interface Held {
  target: Target;
  /** Monotonic time at which a missing target is given up. */
  goneAt: number;
}

export class TargetList {
  private readonly held = new Map<string, Held>();
  private readonly left = new Set<string>();

  /** `onChange` hears of every target that comes in or goes out. */
  constructor(
    private readonly onChange: (change: TargetChange) => void = () => undefined,
  ) {}

  /** Takes the whole list; `inGrace`: an outage has just ended. */
  replaceAll(targets: readonly Target[], now: number, inGrace: boolean): void {
    const listed = new Set(targets.map(target => target.id));
    targets.forEach(target => this.add(target));
    for (const [id, held] of [...this.held]) {
      if (!listed.has(id)) {
        this.miss(held, now, inGrace);
      }
    }
  }

  /** Takes one entry. */
  add(target: Target): void {
    if (this.left.has(target.id)) {
      return;
    }
    if (target.isLeaving) {
      this.leave(target);
      return;
    }
    const held = this.held.get(target.id);
    this.held.set(target.id, {target, goneAt: Infinity});
    if (held === undefined) {
      this.onChange({kind: 'joined', target});
    }
  }

  /** An entry is gone. */
  remove(id: string, now: number, inGrace: boolean): void {
    const held = this.held.get(id);
    if (held !== undefined) {
      this.miss(held, now, inGrace);
    }
  }

  /** A target has said itself that it is not the one that was meant. */
  drop(id: string): void {
    const held = this.held.get(id);
    if (held !== undefined) {
      this.held.delete(id);
      this.onChange({kind: 'gone', target: held.target});
    }
  }

  get(id: string): Target | undefined {
    return this.held.get(id)?.target;
  }

  /**
   * Targets of a service that may get work. Where a process died, its entry
   * stays for a while beside that of its next life at the same address.
   */
  ofService(service: string, now: number): Target[] {
    const newest = new Map<string, Target>();
    for (const {target, goneAt} of [...this.held.values()]) {
      if (goneAt <= now) {
        this.drop(target.id);
      } else {
        const other = newest.get(target.address);
        if (other === undefined || other.revision < target.revision) {
          newest.set(target.address, target);
        }
      }
    }
    return [...newest.values()].filter(target => target.service === service);
  }

  /** All targets that may get work. */
  all(): Target[] {
    return [...this.held.values()].map(held => held.target);
  }

  /** Targets that are ranks of groups. */
  ranks(): Target[] {
    return this.all().filter(target => target.group !== undefined);
  }

  get size(): number {
    return this.held.size;
  }

  private leave(target: Target): void {
    this.left.add(target.id);
    this.held.delete(target.id);
    this.onChange({kind: 'leaving', target});
  }

  private miss(held: Held, now: number, inGrace: boolean): void {
    if (!inGrace) {
      this.drop(held.target.id);
    } else if (held.goneAt === Infinity) {
      held.goneAt = now + LAPSE_GRACE_MS;
      this.onChange({kind: 'missing', target: held.target});
    }
  }
}
