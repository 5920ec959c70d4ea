/**
 * Decides which process is responsible for a key: the first by rendezvous hashing
 * of the known processes that answer, this one included. Processes that know
 * different peers may disagree.
 */
import * as rendezvous from '../routing/rendezvous';
import type {PeerDirectory} from './peer-directory';
import {UnresponsivePeers} from './unresponsive-peers';

/** The first processes for a key, as one process tells another. */
export interface RankingView {
  /** RPC addresses of those that answer, the responsible one first. */
  readonly order: string[];
  /** Addresses among the first that do not answer. */
  readonly silent: string[];
}

export class PeerRanking {
  private readonly unresponsive = new UnresponsivePeers();

  constructor(
    /** Address at which this process takes calls. */
    readonly ownAddress: string,
    readonly directory: PeerDirectory,
  ) {}

  /** All known processes in the key's order. */
  ranked(key: string): string[] {
    return rendezvous.rankByKey(
      key,
      [this.ownAddress, ...this.directory.known],
      one => one,
    );
  }

  /** Those that answer, in the key's order; always includes this process. */
  responsive(key: string): string[] {
    return this.ranked(key).filter(
      one => !this.unresponsive.isUnresponsive(one),
    );
  }

  /** Up to `count` processes each that answer and that do not. */
  view(key: string, count: number): RankingView {
    const all = this.ranked(key);
    return {
      order: all.filter(one => !this.isUnresponsive(one)).slice(0, count),
      silent: all.slice(0, count).filter(one => this.isUnresponsive(one)),
    };
  }

  /** Unresponsive ones that rank before all that answer and are due for a retry. */
  takeDueRetries(key: string, now: number): string[] {
    if (this.unresponsive.isEmpty) {
      return [];
    }
    const all = this.ranked(key);
    const first = all.findIndex(one => !this.unresponsive.isUnresponsive(one));
    return all
      .slice(0, first)
      .filter(one => this.unresponsive.takeDueRetry(one, now));
  }

  isUnresponsive(address: string): boolean {
    return this.unresponsive.isUnresponsive(address);
  }

  /** The peers have answered or called, or another peer has heard from them. */
  markResponsive(...addresses: readonly string[]): void {
    this.directory.add(addresses);
    addresses.forEach(one => this.unresponsive.markResponsive(one));
  }

  /** A call to the peer got no answer. */
  markUnresponsive(address: string): void {
    this.unresponsive.markUnresponsive(address, performance.now());
  }
}
