/** New connections per second of peers, as they tell it with other messages. */
import * as bounded from '../bounded';

/** Older figures are ignored. */
const MAX_AGE_MS = 10_000;
const MAX_PEERS = 256;
/** Rate, as a multiple of the peers' mean, from which this process has too many. */
const UNEVEN_FACTOR = 2;

interface PeerRate {
  readonly perSecond: number;
  readonly at: number;
}

export class PeerRates {
  private readonly rates = new Map<string, PeerRate>();

  note(peer: string, perSecond: number, now: number): void {
    this.rates.delete(peer);
    this.rates.set(peer, {perSecond, at: now});
    bounded.dropOldest(this.rates, MAX_PEERS);
  }

  /** True if the rate is far above the mean of the peers; false if none is known. */
  isUneven(perSecond: number, now: number): boolean {
    const recent = [...this.rates.values()].filter(
      ({at}) => now - at < MAX_AGE_MS,
    );
    const sum = recent.reduce((total, one) => total + one.perSecond, 0);
    return (
      recent.length > 0 && perSecond > (UNEVEN_FACTOR * sum) / recent.length
    );
  }
}
