/**
 * Which peer does something for all, by a key: the first by rendezvous hashing of
 * those that are known and answer, this process among them. All work it out alike
 * from what they know; what they know may differ.
 */
import * as rendezvous from '../routing/rendezvous';
import type {PeerBook} from './peer-book';
import {SilentPeers} from './silent-peers';

export class PeerOrder {
  private readonly silent = new SilentPeers();

  constructor(
    /** Where this process takes calls. */
    readonly own: string,
    readonly book: PeerBook,
  ) {}

  /** All that are known for a key, the first one first. */
  ranked(key: string): string[] {
    return rendezvous.rankByKey(
      key,
      [this.own, ...this.book.known],
      one => one,
    );
  }

  /** Those that answer; this process is always among them. */
  answering(key: string): string[] {
    return this.ranked(key).filter(one => !this.silent.isSilent(one));
  }

  /** Silent ones that come before all that answer and are to be tried now. */
  takeTrials(key: string, now: number): string[] {
    const all = this.ranked(key);
    const first = all.findIndex(one => !this.silent.isSilent(one));
    return all.slice(0, first).filter(one => this.silent.takeTrial(one, now));
  }

  isSilent(address: string): boolean {
    return this.silent.isSilent(address);
  }

  /** A peer has answered or called, or another one has heard it. */
  noteHeard(...addresses: readonly string[]): void {
    this.book.learn(addresses);
    addresses.forEach(one => this.silent.noteHeard(one));
  }

  /** A call to a peer brought no answer. */
  noteSilent(address: string): void {
    this.silent.noteSilent(address, performance.now());
  }
}
