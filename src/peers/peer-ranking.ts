/**
 * Which peer does something for all, by a key: the first by rendezvous hashing of
 * those that are known and answer, this process among them. All work it out alike
 * from what they know; what they know may differ.
 */
import * as rendezvous from '../routing/rendezvous';
import type {PeerDirectory} from './peer-directory';
import {UnresponsivePeers} from './unresponsive-peers';

export class PeerRanking {
  private readonly unresponsive = new UnresponsivePeers();

  constructor(
    /** Where this process takes calls. */
    readonly ownAddress: string,
    readonly directory: PeerDirectory,
  ) {}

  /** All that are known for a key, the first one first. */
  ranked(key: string): string[] {
    return rendezvous.rankByKey(
      key,
      [this.ownAddress, ...this.directory.known],
      one => one,
    );
  }

  /** Those that answer; this process is always among them. */
  responsive(key: string): string[] {
    return this.ranked(key).filter(
      one => !this.unresponsive.isUnresponsive(one),
    );
  }

  /** Silent ones that come before all that answer and are to be tried now. */
  takeDueRetries(key: string, now: number): string[] {
    const all = this.ranked(key);
    const first = all.findIndex(one => !this.unresponsive.isUnresponsive(one));
    return all
      .slice(0, first)
      .filter(one => this.unresponsive.takeDueRetry(one, now));
  }

  isUnresponsive(address: string): boolean {
    return this.unresponsive.isUnresponsive(address);
  }

  /** A peer has answered or called, or another one has heard it. */
  markResponsive(...addresses: readonly string[]): void {
    this.directory.add(addresses);
    addresses.forEach(one => this.unresponsive.markResponsive(one));
  }

  /** A call to a peer brought no answer. */
  markUnresponsive(address: string): void {
    this.unresponsive.markUnresponsive(address, performance.now());
  }
}
