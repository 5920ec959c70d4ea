/**
 * Estimates which targets have which prompt prefixes cached, from this entry's
 * requests and from cache events. Bounded: the prefix that was sent least
 * recently is dropped first. A wrong estimate costs one prefill.
 */
import {createHash} from 'node:crypto';

/** Average characters per token. */
const CHARACTERS_PER_TOKEN = 4;
/** Length of a prefix in characters. */
const PREFIX_CHARACTERS = 1_024;
const MAX_PREFIXES = 4_096;
const MAX_HOLDERS_PER_PREFIX = 4;

export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Identifies a prompt's prefix. */
export function digestPrefix(prompt: string): string {
  return createHash('sha256')
    .update(prompt.slice(0, PREFIX_CHARACTERS))
    .digest('base64url');
}

interface Holder {
  readonly id: string;
  readonly tokens: number;
}

export class PrefixIndex {
  private readonly byPrefix = new Map<string, Holder[]>();

  /** Prompt tokens that a target is estimated to have cached. */
  cachedTokensAt(prefix: string, id: string): number {
    const holders = this.byPrefix.get(prefix) ?? [];
    return holders.find(holder => holder.id === id)?.tokens ?? 0;
  }

  /** Records that a prompt of `tokens` was sent to a target. */
  noteSent(prefix: string, id: string, tokens: number): void {
    const holders = this.byPrefix.get(prefix) ?? [];
    const others = holders.filter(holder => holder.id !== id);
    this.byPrefix.delete(prefix);
    this.byPrefix.set(
      prefix,
      [{id, tokens}, ...others].slice(0, MAX_HOLDERS_PER_PREFIX),
    );
    this.evict();
  }

  /** Records that a target has evicted a prefix. */
  noteEvicted(prefix: string, id: string): void {
    const holders = this.byPrefix.get(prefix) ?? [];
    this.byPrefix.set(
      prefix,
      holders.filter(holder => holder.id !== id),
    );
  }

  get size(): number {
    return this.byPrefix.size;
  }

  private evict(): void {
    for (const prefix of this.byPrefix.keys()) {
      if (this.byPrefix.size <= MAX_PREFIXES) {
        return;
      }
      this.byPrefix.delete(prefix);
    }
  }
}
