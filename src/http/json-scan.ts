/**
 * Looks at JSON text before it is parsed. Parsed values take many times the memory
 * of their text, nested ones most of all, so documents that others wrote are
 * measured first. The text need not be valid: parsing finds that out.
 */

export interface JsonBounds {
  /** Arrays and objects within each other. */
  readonly maxDepth: number;
  readonly maxValues: number;
  readonly maxBytes: number;
}

/** A part of a text, from the byte at `start` to the one before `end`. */
export interface Extent {
  readonly start: number;
  readonly end: number;
}

const QUOTE = 0x22;
const COMMA = 0x2c;
const COLON = 0x3a;
const BACKSLASH = 0x5c;
const OPENING_BRACKET = 0x5b;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;

/** True if the text keeps the bounds. Values are counted from above. */
export function isWithin(
  bytes: Buffer,
  {maxDepth, maxValues, maxBytes}: JsonBounds,
  {start, end}: Extent = wholeOf(bytes),
): boolean {
  if (end - start > maxBytes) {
    return false;
  }
  // A shorter text can't exceed the others.
  if (end - start <= Math.min(maxDepth, maxValues)) {
    return true;
  }
  let depth = 0;
  let values = 1;
  for (let at = start; at < end; at += 1) {
    switch (bytes[at]) {
      case QUOTE:
        at = endOfString(bytes, at, end);
        break;
      case COMMA:
        values += 1;
        break;
      case OPENING_BRACKET:
      case OPENING_BRACE:
        depth += 1;
        values += 1;
        if (depth > maxDepth) {
          return false;
        }
        break;
      case CLOSING_BRACKET:
      case CLOSING_BRACE:
        depth -= 1;
        break;
      default:
    }
  }
  return values <= maxValues;
}

/** The elements of an array, or the members of an object with their keys. */
export function partsOf(
  bytes: Buffer,
  {start, end}: Extent = wholeOf(bytes),
): Extent[] {
  const parts: Extent[] = [];
  let depth = 0;
  let partStart = start;
  for (let at = start; at < end; at += 1) {
    const byte = bytes[at]!;
    if (byte === QUOTE) {
      at = endOfString(bytes, at, end);
    } else if (byte === OPENING_BRACKET || byte === OPENING_BRACE) {
      depth += 1;
      partStart = depth === 1 ? at + 1 : partStart;
    } else if (byte === CLOSING_BRACKET || byte === CLOSING_BRACE) {
      depth -= 1;
      if (depth === 0) {
        addUnlessBlank(parts, bytes, {start: partStart, end: at});
        return parts;
      }
    } else if (byte === COMMA && depth === 1) {
      parts.push({start: partStart, end: at});
      partStart = at + 1;
    }
  }
  return parts;
}

/** The values of an object by key; the last one of each key, as in parsing. */
export function membersOf(bytes: Buffer, extent?: Extent): Map<string, Extent> {
  const members = new Map<string, Extent>();
  for (const {start, end} of partsOf(bytes, extent)) {
    const quote = bytes.indexOf(QUOTE, start);
    if (quote < 0 || quote >= end) {
      continue;
    }
    const keyEnd = endOfString(bytes, quote, end);
    const colon = bytes.indexOf(COLON, keyEnd);
    if (colon > 0 && colon < end) {
      const key = bytes.toString('utf8', quote + 1, keyEnd);
      members.set(key, {start: colon + 1, end});
    }
  }
  return members;
}

/** Position of the closing quote. */
function endOfString(bytes: Buffer, quote: number, end: number): number {
  for (let at = quote + 1; at < end; at += 1) {
    const byte = bytes[at];
    if (byte === QUOTE) {
      return at;
    }
    if (byte === BACKSLASH) {
      at += 1;
    }
  }
  return end;
}

function addUnlessBlank(parts: Extent[], bytes: Buffer, part: Extent): void {
  if (bytes.toString('utf8', part.start, part.end).trim() !== '') {
    parts.push(part);
  }
}

function wholeOf(bytes: Buffer): Extent {
  return {start: 0, end: bytes.length};
}
