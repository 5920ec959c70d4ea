/**
 * Processes of the same role that this one may ask. Seeds stand in the
 * settings; others are learnt from whoever calls, and from what peers answer.
 */
import * as random from '../random';
import {watchersOf} from './watch-duty';

/** Peers that are remembered beside the seeds. */
const MOST_LEARNT = 64;
/** Peers that are named to another process. */
const MOST_TOLD = 8;

export class PeerBook {
  private readonly seeds: readonly string[];
  private readonly learnt = new Set<string>();
  /** The peer that brought news last. */
  private helpful: string | undefined;

  constructor(
    private readonly own: string,
    seeds: readonly string[],
  ) {
    this.seeds = [...new Set(seeds)].filter(address => address !== own);
  }

  get isEmpty(): boolean {
    return this.seeds.length === 0 && this.learnt.size === 0;
  }

  /** Peers that are known. */
  get known(): string[] {
    return [...this.seeds, ...this.learnt];
  }

  learn(addresses: readonly string[]): void {
    for (const address of addresses) {
      const isNew = address !== this.own && !this.seeds.includes(address);
      if (isNew && this.learnt.size < MOST_LEARNT) {
        this.learnt.add(address);
      }
    }
  }

  /** Notes whether a peer answered, and whether it had heard something. */
  note(address: string, isAnswered: boolean, isHelpful: boolean): void {
    if (!isAnswered) {
      this.learnt.delete(address);
    }
    if (isHelpful) {
      this.helpful = address;
    } else if (this.helpful === address) {
      this.helpful = undefined;
    }
  }

  /** One of some peers: the one that helped last, where it is among them. */
  oneOf(peers: readonly string[]): string | undefined {
    const {helpful} = this;
    const [first] = random.sample(peers, 1);
    return helpful !== undefined && peers.includes(helpful) ? helpful : first;
  }

  /** Up to `count` peers to ask, the one that helped last among them. */
  toAsk(count: number): string[] {
    const {helpful} = this;
    const others = this.known.filter(address => address !== helpful);
    return helpful === undefined
      ? random.sample(others, count)
      : [helpful, ...random.sample(others, count - 1)];
  }

  /** A peer to meet: any, so that everybody hears of everybody in time. */
  toGreet(): string[] {
    return random.sample(this.known, 1);
  }

  /**
   * Peers that another process should know of: those that should watch the
   * store for all, as far as this one knows, and some others.
   */
  toTell(): string[] {
    const first = watchersOf([this.own, ...this.known]);
    const others = [...this.learnt].filter(peer => !first.includes(peer));
    return [...first, ...random.sample(others, MOST_TOLD - first.length)];
  }
}
