/**
 * Addresses of the processes of the same role. Seeds come from the settings;
 * others are discovered from callers and from the answers of peers.
 */
import * as random from '../random';
import {electWatchers} from './watcher-election';

const MAX_DISCOVERED_PEERS = 64;
const MAX_SHARED_PEERS = 8;

export class PeerDirectory {
  private readonly seeds: readonly string[];
  private readonly discovered = new Set<string>();
  /** The peer whose last answer held recent updates. */
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

  /**
   * Records the outcome of a call: whether the peer answered, and whether its
   * answer held recent updates. Discovered peers that don't answer are removed.
   */
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

  /**
   * One of `peers`: the one whose last answer held recent updates if it is among
   * them, otherwise a random one. Undefined if `peers` is empty.
   */
  chooseFrom(peers: readonly string[]): string | undefined {
    const {lastHelpful} = this;
    const [first] = random.sample(peers, 1);
    return lastHelpful !== undefined && peers.includes(lastHelpful)
      ? lastHelpful
      : first;
  }

  /**
   * Up to `count` peers: first the one whose last answer held recent updates, if
   * any, then random ones.
   */
  chooseToPoll(count: number): string[] {
    const {lastHelpful} = this;
    const others = this.known.filter(address => address !== lastHelpful);
    return lastHelpful === undefined
      ? random.sample(others, count)
      : [lastHelpful, ...random.sample(others, count - 1)];
  }

  /** At most one random peer. */
  chooseRandom(): string[] {
    return random.sample(this.known, 1);
  }

  /**
   * Peers to name to another process: those that should watch the store, as far
   * as this one knows, and some others.
   */
  chooseToShare(): string[] {
    const watchers = electWatchers([this.ownAddress, ...this.known]);
    const others = [...this.discovered].filter(
      peer => !watchers.includes(peer),
    );
    return [
      ...watchers,
      ...random.sample(others, MAX_SHARED_PEERS - watchers.length),
    ];
  }
}
