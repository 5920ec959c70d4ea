/** Request keys: UUIDv7, whose minting time is the fence. */
import {randomFillSync} from 'node:crypto';
import * as murmurhash from 'murmurhash';
import * as uuid from 'uuid';

const UUID_VERSION = 7;
const TIMESTAMP_HEX_DIGITS = 12;
const HEX_RADIX = 16;

/** A key's parts. */
export interface RequestKey {
  /** The canonical text, in lower case. */
  readonly text: string;
  /** Unix milliseconds. Source: RFC 9562, section 5.7. */
  readonly mintedAt: number;
}

/** Undefined where the text is no UUIDv7. */
export function parseKey(text: string): RequestKey | undefined {
  if (!uuid.validate(text) || uuid.version(text) !== UUID_VERSION) {
    return undefined;
  }
  const canonical = text.toLowerCase();
  const digits = canonical.replaceAll('-', '').slice(0, TIMESTAMP_HEX_DIGITS);
  return {text: canonical, mintedAt: parseInt(digits, HEX_RADIX)};
}

/** The slot of a key: by its random bits only, not by its time. */
export function slotOf(key: RequestKey, slots: number): number {
  const random = key.text.slice('00000000-0000-'.length);
  return murmurhash.v3(random) % slots;
}

/**
 * Mints a key at a time and in one of the wanted slots. Takes about
 * `slots / wanted.size` tries.
 */
export function mintKey(
  mintedAt: number,
  slots: number,
  wanted: ReadonlySet<number>,
): RequestKey {
  const RANDOM_BYTES = 16;
  const bytes = new Uint8Array(RANDOM_BYTES);
  for (;;) {
    randomFillSync(bytes);
    const text = uuid.v7({msecs: mintedAt, random: bytes});
    const key = {text, mintedAt};
    if (wanted.has(slotOf(key, slots))) {
      return key;
    }
  }
}
