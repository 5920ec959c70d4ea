/**
 * Which targets are believed to hold which prompt prefixes, from what this
 * entry sent and from cache events. Bounded, and least recently used goes
 * first: a wrong belief costs one prefill.
 */
import {createHash} from 'node:crypto';

/** Characters that one token stands for, on average. */
const CHARACTERS_PER_TOKEN = 4;
/** Characters of the prompt whose digest names its prefix. */
const PREFIX_CHARACTERS = 1_024;
const MAX_PREFIXES = 4_096;
const MAX_HOLDERS_PER_PREFIX = 4;

/** Tokens of a text, estimated. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** The name of a prompt's prefix. */
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

  /** Prompt tokens that a target is believed to hold. */
  cachedTokensAt(prefix: string, id: string): number {
    const holders = this.byPrefix.get(prefix) ?? [];
    return holders.find(holder => holder.id === id)?.tokens ?? 0;
  }

  /** Notes that a target has read a prompt. */
  noteSent(prefix: string, id: string, tokens: number): void {
    const held = this.byPrefix.get(prefix) ?? [];
    const others = held.filter(holder => holder.id !== id);
    this.byPrefix.delete(prefix);
    this.byPrefix.set(
      prefix,
      [{id, tokens}, ...others].slice(0, MAX_HOLDERS_PER_PREFIX),
    );
    this.evict();
  }

  /** Notes that a target has dropped a prefix. */
  noteEvicted(prefix: string, id: string): void {
    const held = this.byPrefix.get(prefix) ?? [];
    this.byPrefix.set(
      prefix,
      held.filter(holder => holder.id !== id),
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
