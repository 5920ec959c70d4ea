/**
 * Waiting requests by rank, with a minimum share of the starts for each lower
 * rank that waits. Pure.
 */
import {rankOf} from './arrival-order';
import {PriorityBacklog} from './priority-backlog';
import type {Ahead, WaitingRequest} from './types';

/** Upper bound of the starts that a rank may be owed. */
const MAX_CREDIT = 2;
/**
 * Starts of others after which a rank that has nothing waiting is forgotten.
 * Few requests of a low rank wait at a time: forgotten at once, it would lose
 * its credit between one and the next.
 */
const MAX_IDLE_STARTS = 10;
/** Sums of the floor share are not exact. */
const ROUNDING = 1e-9;

export class RankedBacklogs<T extends WaitingRequest> {
  /** Those with items waiting now or lately, highest rank first. */
  private readonly backlogs: PriorityBacklog<T>[] = [];

  /** `floorShare`: minimum share of the starts of each lower rank. */
  constructor(private readonly floorShare: number) {}

  get size(): number {
    return this.backlogs.reduce((sum, backlog) => sum + backlog.size, 0);
  }

  push(item: T): void {
    const rank = rankOf(item);
    const at = this.backlogs.findIndex(one => one.rank >= rank);
    if (at >= 0 && this.backlogs[at]!.rank === rank) {
      this.backlogs[at]!.push(item);
      return;
    }
    const backlog = new PriorityBacklog<T>(rank);
    backlog.push(item);
    this.backlogs.splice(at < 0 ? this.backlogs.length : at, 0, backlog);
  }

  remove(item: T): boolean {
    const backlog = this.backlogOf(item);
    return backlog?.remove(item) ?? false;
  }

  /** Removes an item that starts. */
  start(item: T): void {
    const own = this.backlogOf(item);
    const highest = this.backlogs.findIndex(({size}) => size > 0);
    this.backlogs.forEach((backlog, at) => {
      const gain = at > highest ? this.floorShare : 0;
      backlog.credit = Math.min(backlog.credit + gain, MAX_CREDIT);
      backlog.idleStarts += backlog.size === 0 ? 1 : 0;
    });
    if (own !== undefined) {
      own.credit = Math.max(own.credit - 1, 0);
      own.start(item);
    }
    this.dropIdle();
  }

  /** Items that start before this one, which need not be queued. */
  countAhead(item: WaitingRequest): Ahead {
    const rank = rankOf(item);
    let higher = 0;
    for (const backlog of this.backlogs) {
      higher += backlog.rank < rank ? backlog.size : 0;
    }
    return {higher, same: this.backlogOf(item)?.countAhead(item) ?? 0};
  }

  /** The item that would start last. */
  last(): T | undefined {
    return [...this.backlogs]
      .reverse()
      .find(({size}) => size > 0)
      ?.last();
  }

  items(): T[] {
    return this.backlogs.flatMap(backlog => backlog.items());
  }

  /** The next of those that match, by rank and what is owed to lower ones. */
  next(matches: (item: T) => boolean): T | undefined {
    let chosen: T | undefined;
    let owed = 1 - ROUNDING;
    for (const backlog of this.backlogs) {
      if (chosen === undefined || backlog.credit >= owed) {
        const item = backlog.next(matches);
        if (item !== undefined && chosen !== undefined) {
          owed = backlog.credit;
        }
        chosen = item ?? chosen;
      }
    }
    return chosen;
  }

  private backlogOf(item: WaitingRequest): PriorityBacklog<T> | undefined {
    const rank = rankOf(item);
    return this.backlogs.find(backlog => backlog.rank === rank);
  }

  private dropIdle(): void {
    const at = this.backlogs.findIndex(
      ({idleStarts}) => idleStarts > MAX_IDLE_STARTS,
    );
    if (at >= 0) {
      this.backlogs.splice(at, 1);
    }
  }
}
