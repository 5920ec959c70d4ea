/**
 * Expert maps and counters' growth in few bytes, for calls between sidecars:
 * links beside the ranks are narrow. Base64 of small binary forms.
 */
import type {ExpertMap, Growth} from './types';

/** Highest number of one byte. */
const BYTE_MAX = 255;
const BYTES_OF_WIDE = 2;

/**
 * A map as: width of a number in bytes, sets, ranks; then by set and rank the
 * number of experts and the experts themselves.
 */
export function packMap(map: ExpertMap): string {
  const ranks = map[0]?.length ?? 0;
  const numbers = [map.length, ranks];
  for (const held of map) {
    for (const experts of held) {
      numbers.push(experts.length, ...experts);
    }
  }
  const isNarrow = numbers.every(number => number <= BYTE_MAX);
  const width = isNarrow ? 1 : BYTES_OF_WIDE;
  const bytes = Buffer.alloc(1 + numbers.length * width);
  bytes[0] = width;
  numbers.forEach((number, at) =>
    bytes.writeUIntLE(number, 1 + at * width, width),
  );
  return bytes.toString('base64');
}

/** Undefined where the text is no packed map. */
export function unpackMap(text: string): ExpertMap | undefined {
  const bytes = Buffer.from(text, 'base64');
  const width = bytes[0] ?? 0;
  const isWidth = width === 1 || width === BYTES_OF_WIDE;
  if (!isWidth || (bytes.length - 1) % width !== 0) {
    return undefined;
  }
  const numbers = Array.from({length: (bytes.length - 1) / width}, (_, at) =>
    bytes.readUIntLE(1 + at * width, width),
  );
  let at = 2;
  const [sets = 0, ranks = 0] = numbers;
  const map: number[][][] = [];
  for (let set = 0; set < sets; set += 1) {
    const held: number[][] = [];
    for (let rank = 0; rank < ranks; rank += 1) {
      const count = numbers[at];
      if (count === undefined || at + count >= numbers.length) {
        return undefined;
      }
      held.push(numbers.slice(at + 1, at + 1 + count));
      at += 1 + count;
    }
    map.push(held);
  }
  return at === numbers.length ? map : undefined;
}

/** Growth in units of a 255th of the largest, one byte an expert. */
export interface PackedGrowth {
  readonly unit: number;
  readonly bytes: string;
}

export function packGrowth(growth: Growth): PackedGrowth {
  let largest = 0;
  for (let at = 0; at < growth.length; at += 1) {
    largest = Math.max(largest, growth[at]!);
  }
  const unit = largest / BYTE_MAX || 1;
  const bytes = Buffer.alloc(growth.length);
  for (let at = 0; at < growth.length; at += 1) {
    bytes[at] = Math.round(growth[at]! / unit);
  }
  return {unit, bytes: bytes.toString('base64')};
}

export function unpackGrowth(packed: PackedGrowth): Float64Array {
  const bytes = Buffer.from(packed.bytes, 'base64');
  return Float64Array.from(bytes, byte => byte * packed.unit);
}

/** Adds `growth` to `sum`; a sum of another length is replaced. */
export function addGrowth(
  sum: Float64Array | undefined,
  growth: Growth,
): Float64Array {
  if (sum === undefined || sum.length !== growth.length) {
    return Float64Array.from(growth);
  }
  for (let at = 0; at < growth.length; at += 1) {
    sum[at]! += growth[at]!;
  }
  return sum;
}
