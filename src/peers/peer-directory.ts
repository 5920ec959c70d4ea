/**
 * Processes of the same role that this one may ask. Seeds stand in the
 * settings; others are learnt from whoever calls, and from what peers answer.
 */
import * as random from '../random';
import {electWatchers} from './watcher-election';

/** Peers that are remembered beside the seeds. */
const MAX_DISCOVERED_PEERS = 64;
/** Peers that are named to another process. */
const MAX_SHARED_PEERS = 8;

export class PeerDirectory {
  private readonly seeds: readonly string[];
  private readonly discovered = new Set<string>();
  /** The peer that brought news last. */
  private lastHelpful: string | undefined;

  constructor(
    private readonly ownAddress: string,
    seeds: readonly string[],
  ) {
    this.seeds = [...new Set(seeds)].filter(address => address !== ownAddress);
  }

  get isEmpty(): boolean {
    return this.seeds.length === 0 && this.discovered.size === 0;
  }

  /** Peers that are known. */
  get known(): string[] {
    return [...this.seeds, ...this.discovered];
  }

  add(addresses: readonly string[]): void {
    for (const address of addresses) {
      const isNew =
        address !== this.ownAddress && !this.seeds.includes(address);
      if (isNew && this.discovered.size < MAX_DISCOVERED_PEERS) {
        this.discovered.add(address);
      }
    }
  }

  /** Notes whether a peer answered, and whether it had heard something. */
  recordCall(address: string, isAnswered: boolean, isHelpful: boolean): void {
    if (!isAnswered) {
      this.discovered.delete(address);
    }
    if (isHelpful) {
      this.lastHelpful = address;
    } else if (this.lastHelpful === address) {
      this.lastHelpful = undefined;
    }
  }

  /** One of some peers: the one that helped last, where it is among them. */
  chooseFrom(peers: readonly string[]): string | undefined {
    const {lastHelpful} = this;
    const [first] = random.sample(peers, 1);
    return lastHelpful !== undefined && peers.includes(lastHelpful)
      ? lastHelpful
      : first;
  }

  /** Up to `count` peers to ask, the one that helped last among them. */
  chooseToPoll(count: number): string[] {
    const {lastHelpful} = this;
    const others = this.known.filter(address => address !== lastHelpful);
    return lastHelpful === undefined
      ? random.sample(others, count)
      : [lastHelpful, ...random.sample(others, count - 1)];
  }

  /** A peer to meet: any, so that everybody hears of everybody in time. */
  chooseRandom(): string[] {
    return random.sample(this.known, 1);
  }

  /**
   * Peers that another process should know of: those that should watch the
   * store for all, as far as this one knows, and some others.
   */
  chooseToShare(): string[] {
    const first = electWatchers([this.ownAddress, ...this.known]);
    const others = [...this.discovered].filter(peer => !first.includes(peer));
    return [
      ...first,
      ...random.sample(others, MAX_SHARED_PEERS - first.length),
    ];
  }
}
