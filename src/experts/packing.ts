/**
 * Expert maps and counters' growth in few bytes, for calls between sidecars:
 * links beside the ranks are narrow. Base64 of deflated binary forms.
 */
import * as zlib from 'node:zlib';
import type {ExpertMap, Growth} from './types';

/** Highest number of one byte. */
const MAX_BYTE = 255;
const WIDE_NUMBER_BYTES = 2;
/** A packed map or growth is never larger than this, in bytes. */
const MAX_INFLATED_BYTES = 8 * 1024 * 1024;

/** Which experts a set may have, and how many ranks hold them. */
export interface MapShape {
  readonly sets: number;
  readonly ranks: number;
  readonly experts: number;
}

/** Experts of one set that one rank holds. */
interface Cell {
  readonly set: number;
  readonly rank: number;
  readonly experts: readonly number[];
}

/** The map that a group starts with: experts dealt out in turn. */
export function initialMap({sets, ranks, experts}: MapShape): number[][][] {
  return Array.from({length: sets}, () => {
    const held: number[][] = Array.from({length: ranks}, () => []);
    for (let expert = 0; expert < experts; expert += 1) {
      held[expert % ranks]!.push(expert);
    }
    return held;
  });
}

/** The shape of a map in which every expert stands somewhere. */
export function shapeOf(map: ExpertMap): MapShape {
  const highest = map[0]?.flat().reduce((most, one) => Math.max(most, one), -1);
  const ranks = map[0]?.length ?? 0;
  return {sets: map.length, ranks, experts: (highest ?? -1) + 1};
}

/**
 * A map as what is different in it from `base`, another one of the same shape:
 * sets, ranks and experts; then for each rank and set that differs the two,
 * the number of its experts and the experts themselves: a change moves few of a
 * large group's, and links are narrow.
 */
export function packMap(map: ExpertMap, base: ExpertMap): string {
  const {sets, ranks, experts} = shapeOf(map);
  const numbers = [sets, ranks, experts];
  map.forEach((held, set) =>
    held.forEach((one, rank) => {
      const before = base[set]?.[rank];
      if (before === undefined || !isEqual(one, before)) {
        numbers.push(set, rank, one.length, ...one);
      }
    }),
  );
  return deflate(packNumbers(numbers));
}

/** The shape of a packed map; undefined where the text is none. */
export function readShape(text: string): MapShape | undefined {
  const [sets, ranks, experts] = unpackNumbers(text) ?? [];
  return sets === undefined || ranks === undefined || experts === undefined
    ? undefined
    : {sets, ranks, experts};
}

/** Undefined where the text is no map packed against one of such a shape. */
export function unpackMap(
  text: string,
  base: ExpertMap,
): ExpertMap | undefined {
  const numbers = unpackNumbers(text);
  const [sets, ranks] = numbers ?? [];
  if (numbers === undefined || sets !== base.length) {
    return undefined;
  }
  if (base.some(held => held.length !== ranks)) {
    return undefined;
  }
  const map = base.map(held => [...held]);
  let at = SHAPE_LENGTH;
  while (at < numbers.length) {
    const cell = readCell(numbers, at);
    if (cell === undefined || map[cell.set]?.[cell.rank] === undefined) {
      return undefined;
    }
    map[cell.set]![cell.rank] = cell.experts;
    at += CELL_HEADER_LENGTH + cell.experts.length;
  }
  return map;
}

/** Sets, ranks and experts come first. */
const SHAPE_LENGTH = 3;
/** Set, rank and number of experts, before the experts of a cell. */
const CELL_HEADER_LENGTH = 3;

function readCell(numbers: readonly number[], at: number): Cell | undefined {
  const [set, rank, count] = numbers.slice(at, at + CELL_HEADER_LENGTH);
  if (set === undefined || rank === undefined || count === undefined) {
    return undefined;
  }
  const from = at + CELL_HEADER_LENGTH;
  const experts = numbers.slice(from, from + count);
  return experts.length === count ? {set, rank, experts} : undefined;
}

function isEqual(one: readonly number[], other: readonly number[]): boolean {
  return (
    one.length === other.length && one.every((value, at) => value === other[at])
  );
}

/** The width of a number in bytes, then the numbers. */
function packNumbers(numbers: readonly number[]): Buffer {
  const isNarrow = numbers.every(number => number <= MAX_BYTE);
  const width = isNarrow ? 1 : WIDE_NUMBER_BYTES;
  const bytes = Buffer.alloc(1 + numbers.length * width);
  bytes[0] = width;
  numbers.forEach((number, at) =>
    bytes.writeUIntLE(number, 1 + at * width, width),
  );
  return bytes;
}

function unpackNumbers(text: string): number[] | undefined {
  const bytes = inflate(text);
  const width = bytes?.[0] ?? 0;
  const isWidth = width === 1 || width === WIDE_NUMBER_BYTES;
  if (bytes === undefined || !isWidth || (bytes.length - 1) % width !== 0) {
    return undefined;
  }
  return Array.from({length: (bytes.length - 1) / width}, (_, at) =>
    bytes.readUIntLE(1 + at * width, width),
  );
}

function deflate(bytes: Buffer): string {
  return zlib.deflateRawSync(bytes).toString('base64');
}

/** Undefined where the text holds nothing that was deflated. */
function inflate(text: string): Buffer | undefined {
  try {
    const bytes = Buffer.from(text, 'base64');
    return zlib.inflateRawSync(bytes, {maxOutputLength: MAX_INFLATED_BYTES});
  } catch {
    return undefined;
  }
}

/** Bytes that a packed growth should take at most; some share a narrow link. */
const TARGET_GROWTH_BYTES = 2_200;
const BITS_PER_BYTE = 8;

/**
 * Steps that a growth of so many experts is told in, so that it keeps to its
 * bytes. A step takes about a bit less than it seems to, since most experts are
 * asked for far less than the first.
 */
function quantizationSteps(length: number): number {
  const bits = Math.floor((TARGET_GROWTH_BYTES * BITS_PER_BYTE) / length) + 1;
  return Math.min(2 ** bits - 1, MAX_BYTE);
}

/**
 * Growth by expert in one byte each, which holds the square root: demand is so
 * uneven that steps of one size would lose the many experts that are asked for
 * little.
 */
export interface PackedGrowth {
  readonly largest: number;
  readonly steps: number;
  readonly bytes: string;
}

/** Growth in few bytes: see `PackedGrowth`. */
export function packGrowth(growth: Growth): PackedGrowth {
  let largest = 0;
  for (let at = 0; at < growth.length; at += 1) {
    largest = Math.max(largest, growth[at]!);
  }
  const unit = largest || 1;
  const steps = quantizationSteps(growth.length);
  const bytes = Buffer.alloc(growth.length);
  for (let at = 0; at < growth.length; at += 1) {
    bytes[at] = Math.round(Math.sqrt(growth[at]! / unit) * steps);
  }
  return {largest, steps, bytes: deflate(bytes)};
}

/** Undefined where nothing was packed. */
export function unpackGrowth(packed: PackedGrowth): Float64Array | undefined {
  const {largest, steps} = packed;
  const bytes = inflate(packed.bytes);
  return bytes && Float64Array.from(bytes, one => (one / steps) ** 2 * largest);
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
