/**
 * The bytes that this process holds for callers and targets: bodies, answers that
 * are unread, and requests that wait behind others of their connection. Above a
 * bound the slowest holders are cut off, above a multiple of it the largest ones.
 */

/** Unread bytes of one answer above which its caller is behind. */
export const SLOW_BYTES = 256 * 1024;
/** The same while the process holds more than its bound: one chunk. */
const SLOW_BYTES_OVER_BOUND = 64 * 1024;
/** Time after which somebody who makes little progress counts as slow. */
export const SLOW_AFTER_MS = 250;
/** Rate at which a caller that is behind is not slow, in bytes per ms. */
const NORMAL_RATE = 512;
/** Bound if the settings state no memory limit. */
export const DEFAULT_BOUND_BYTES = 16 * 1024 * 1024;
/** Share of the process's memory limit that may be held. */
const MEMORY_SHARE = 1 / 16;
/** Multiple of the bound above which no holder is given time any more. */
const CRITICAL_FACTOR = 3;
/**
 * Interval of the checks while the bound is exceeded: no event tells that a
 * holder has become slow or that the system has taken a part of a large write.
 */
const CHECK_INTERVAL_MS = 100;

/** `memoryBytes`: memory limit of the process; undefined: not stated. */
export function boundOf(memoryBytes: number | undefined): number {
  return memoryBytes === undefined
    ? DEFAULT_BOUND_BYTES
    : memoryBytes * MEMORY_SHARE;
}

/** What is cut off first: the lowest class, within it the highest weight. */
export interface CutRank {
  readonly class: 'connection' | 'answer' | 'large-body' | 'small-body';
  /**
   * Bytes of a connection or an answer; of a body, milliseconds per byte of
   * progress.
   */
  readonly weight: number;
}

const CLASS_ORDER = {
  connection: 0,
  answer: 1,
  'large-body': 2,
  'small-body': 3,
} as const;

/**
 * What was cut off. `answer`: to a caller; `arriving-answer`: from a target;
 * `upload`: from a caller; `send`: to a target.
 */
export type CutKind = 'answer' | 'arriving-answer' | 'upload' | 'send';

/** Called when something was cut off that held bytes for some time. */
export type CutListener = (of: CutKind, bytes: number, ms: number) => void;

/** Something that holds bytes until somebody else takes them. */
export abstract class Holder {
  /** Bytes when `HeldBytes` last counted this holder. */
  countedBytes = 0;
  /** Bytes held at present. */
  abstract bytes(): number;
  /**
   * Undefined: it must not be cut off at present. `isCritical`: the memory is
   * needed at once, also that of holders that are not slow.
   */
  abstract rankAt(now: number, isCritical: boolean): CutRank | undefined;
  /** Cuts off and frees the bytes. */
  abstract cut(now: number): void;
  /** Called when the process holds no more than its bound again. */
  onRoom(): void {
    // Most holders don't wait for it.
  }
}

/** The holder to cut off first; undefined: none may be cut off. */
export function chooseCut<T extends Pick<Holder, 'rankAt'>>(
  holders: Iterable<T>,
  now: number,
  isCritical = false,
): T | undefined {
  let first: {holder: T; rank: CutRank} | undefined;
  for (const holder of holders) {
    const rank = holder.rankAt(now, isCritical);
    if (rank !== undefined && (!first || precedes(rank, first.rank))) {
      first = {holder, rank};
    }
  }
  return first?.holder;
}

function precedes(a: CutRank, b: CutRank): boolean {
  const order = CLASS_ORDER[a.class] - CLASS_ORDER[b.class];
  return order < 0 || (order === 0 && a.weight > b.weight);
}

/** The bytes of all holders of a process. */
export class HeldBytes {
  /** Those that held something when last counted. */
  private readonly holders = new Set<Holder>();
  private sum = 0;
  private highest = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(readonly boundBytes: number) {}

  /** True if more than the bound is held. */
  get isOver(): boolean {
    return this.sum > this.boundBytes;
  }

  /** True if holders that are not slow may be cut off, too. */
  get isCritical(): boolean {
    return this.sum > this.boundBytes * CRITICAL_FACTOR;
  }

  /** Unread bytes of an answer above which its caller is behind. */
  get slowBytes(): number {
    return this.isOver ? SLOW_BYTES_OVER_BOUND : SLOW_BYTES;
  }

  /** Largest sum so far. */
  get peakBytes(): number {
    return this.highest;
  }

  /** Bytes held at present. */
  bytes(): number {
    this.recount();
    return this.sum;
  }

  /**
   * Counts a holder again; call when it holds more, or much less. Returns the
   * bytes that it holds then.
   */
  update(holder: Holder): number {
    this.count(holder, holder.bytes());
    this.enforce();
    return holder.countedBytes;
  }

  /** Counts a holder no longer; does nothing if it is not counted. */
  remove(holder: Holder): void {
    this.count(holder, 0);
    this.enforce();
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Cuts off holders until the bound is kept or none may be cut off. */
  private enforce(): void {
    if (this.isOver) {
      // Counts may be too high: not every decrease is reported.
      this.recount();
      this.cutOff();
    }
    this.highest = Math.max(this.highest, this.sum);
    if (this.isOver) {
      this.timer ??= setInterval(
        () => this.enforce(),
        CHECK_INTERVAL_MS,
      ).unref();
    } else if (this.timer !== undefined) {
      this.close();
      [...this.holders].forEach(holder => holder.onRoom());
    }
  }

  private cutOff(): void {
    const now = performance.now();
    while (this.isOver) {
      const holder = chooseCut(this.holders, now, this.isCritical);
      if (holder === undefined) {
        return;
      }
      holder.cut(now);
      this.count(holder, 0);
    }
  }

  private recount(): void {
    for (const holder of this.holders) {
      this.count(holder, holder.bytes());
    }
  }

  private count(holder: Holder, bytes: number): void {
    const {countedBytes} = holder;
    this.sum += bytes - countedBytes;
    holder.countedBytes = bytes;
    if (bytes > 0 && countedBytes === 0) {
      this.holders.add(holder);
    } else if (bytes === 0 && countedBytes > 0) {
      this.holders.delete(holder);
    }
  }
}

/** How a caller keeps up with its answer. */
export type Pace = 'normal' | 'behind' | 'slow';

/**
 * Judges whether a caller keeps up with its answer. A caller that is behind but
 * goes on reading is not slow: its target merely sends faster.
 */
export class ReaderPace {
  private behindAt: number | undefined;
  private windowAt = 0;
  private takenBefore = 0;
  private isSlow = false;

  /**
   * Judges at a time, from the bytes that are unread and those taken so far. A
   * caller is behind above `slowBytes`, until half of that is unread.
   */
  note(now: number, unread: number, taken: number, slowBytes: number): Pace {
    if (unread <= (this.isBehind ? slowBytes / 2 : slowBytes)) {
      this.behindAt = undefined;
      this.isSlow = false;
      return 'normal';
    }
    if (this.behindAt === undefined) {
      this.behindAt = now;
      this.startWindow(now, taken);
    } else if (now - this.windowAt >= SLOW_AFTER_MS) {
      const rate = (taken - this.takenBefore) / (now - this.windowAt);
      this.isSlow = rate < NORMAL_RATE;
      this.startWindow(now, taken);
    }
    return this.isSlow ? 'slow' : 'behind';
  }

  get isBehind(): boolean {
    return this.behindAt !== undefined;
  }

  /** Milliseconds since the caller fell behind; 0: it is not. */
  behindMs(now: number): number {
    return this.behindAt === undefined ? 0 : now - this.behindAt;
  }

  /** Milliseconds until it is decided whether a caller that is behind is slow. */
  undecidedMs(now: number): number {
    return Math.max(this.windowAt + SLOW_AFTER_MS - now, 0);
  }

  private startWindow(now: number, taken: number): void {
    this.windowAt = now;
    this.takenBefore = taken;
  }
}
