/** Request keys: UUIDv7s whose timestamp is the key's minting time. */
import {randomFillSync} from 'node:crypto';
import * as murmurhash from 'murmurhash';
import * as uuid from 'uuid';

const UUID_VERSION = 7;
const TIMESTAMP_HEX_DIGITS = 12;
const HEX_RADIX = 16;

export interface RequestKey {
  /** The canonical text, in lower case. */
  readonly text: string;
  /** Unix milliseconds. Source: RFC 9562, section 5.7. */
  readonly mintedAt: number;
}

/** Parses a request key; undefined if the text is not a UUIDv7. */
export function parseKey(text: string): RequestKey | undefined {
  if (!uuid.validate(text) || uuid.version(text) !== UUID_VERSION) {
    return undefined;
  }
  const canonical = text.toLowerCase();
  const digits = canonical.replaceAll('-', '').slice(0, TIMESTAMP_HEX_DIGITS);
  return {text: canonical, mintedAt: parseInt(digits, HEX_RADIX)};
}

/** The slot of a key: a hash of its random bits, independent of its time. */
export function slotOf(key: RequestKey, slotCount: number): number {
  const random = key.text.slice('00000000-0000-'.length);
  return murmurhash.v3(random) % slotCount;
}

/**
 * Mints a key with this minting time in one of the allowed slots. Takes about
 * `slotCount / allowedSlots.size` attempts; never returns if there are none.
 */
export function mintKey(
  mintedAt: number,
  slotCount: number,
  allowedSlots: ReadonlySet<number>,
): RequestKey {
  const RANDOM_BYTES = 16;
  const bytes = new Uint8Array(RANDOM_BYTES);
  for (;;) {
    randomFillSync(bytes);
    const text = uuid.v7({msecs: mintedAt, random: bytes});
    const key = {text, mintedAt};
    if (allowedSlots.has(slotOf(key, slotCount))) {
      return key;
    }
  }
}
