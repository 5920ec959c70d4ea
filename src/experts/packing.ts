/**
 * Compact encoding of expert maps and of counter growth for calls between
 * sidecars, whose links have little bandwidth: Base64 of deflated binary data.
 * Packing a map throws RangeError for a number above 65 535.
 */
import * as zlib from 'node:zlib';
import type {ExpertMap, Growth} from './types';

const MAX_BYTE = 255;
const WIDE_NUMBER_BYTES = 2;
/** Limit on inflated data; larger input fails to unpack. */
const MAX_INFLATED_BYTES = 8 * 1024 * 1024;

export interface MapShape {
  readonly sets: number;
  readonly ranks: number;
  readonly experts: number;
}

interface Cell {
  readonly set: number;
  readonly rank: number;
  readonly experts: readonly number[];
}

/** The map that a group starts with: experts assigned to ranks round-robin. */
export function initialMap({sets, ranks, experts}: MapShape): number[][][] {
  return Array.from({length: sets}, () => {
    const held: number[][] = Array.from({length: ranks}, () => []);
    for (let expert = 0; expert < experts; expert += 1) {
      held[expert % ranks]!.push(expert);
    }
    return held;
  });
}

/** The shape of a map in which every expert has a holder. */
export function shapeOf(map: ExpertMap): MapShape {
  const highest = map[0]?.flat().reduce((max, one) => Math.max(max, one), -1);
  const ranks = map[0]?.length ?? 0;
  return {sets: map.length, ranks, experts: (highest ?? -1) + 1};
}

/**
 * Encodes a map as its differences from `base`, a map of the same shape: the
 * numbers of sets, ranks and experts, then for each cell that differs its set,
 * its rank, the number of its experts and the experts.
 */
export function packMap(map: ExpertMap, base: ExpertMap): string {
  const {sets, ranks, experts} = shapeOf(map);
  const numbers = [sets, ranks, experts];
  map.forEach((held, set) =>
    held.forEach((one, rank) => {
      const baseExperts = base[set]?.[rank];
      if (baseExperts === undefined || !isEqual(one, baseExperts)) {
        numbers.push(set, rank, one.length, ...one);
      }
    }),
  );
  return deflate(packNumbers(numbers));
}

/** The shape of a packed map; undefined if the text cannot be unpacked. */
export function readShape(text: string): MapShape | undefined {
  const [sets, ranks, experts] = unpackNumbers(text) ?? [];
  return sets === undefined || ranks === undefined || experts === undefined
    ? undefined
    : {sets, ranks, experts};
}

/** Undefined if the text is not a map packed against one of the shape of `base`. */
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

/** Numbers of sets, ranks and experts at the start of a packed map. */
const SHAPE_LENGTH = 3;
/** Set, rank and number of experts before the experts of a cell. */
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

/** One byte with the bytes per number, then the numbers in little-endian order. */
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
  const isKnownWidth = width === 1 || width === WIDE_NUMBER_BYTES;
  if (
    bytes === undefined ||
    !isKnownWidth ||
    (bytes.length - 1) % width !== 0
  ) {
    return undefined;
  }
  return Array.from({length: (bytes.length - 1) / width}, (_, at) =>
    bytes.readUIntLE(1 + at * width, width),
  );
}

function deflate(bytes: Buffer): string {
  return zlib.deflateRawSync(bytes).toString('base64');
}

/** Undefined if the text is not deflated data within MAX_INFLATED_BYTES. */
function inflate(text: string): Buffer | undefined {
  try {
    const bytes = Buffer.from(text, 'base64');
    return zlib.inflateRawSync(bytes, {maxOutputLength: MAX_INFLATED_BYTES});
  } catch {
    return undefined;
  }
}

/**
 * Target size of a packed growth, not enforced. Several share a narrow link.
 */
const TARGET_GROWTH_BYTES = 2_200;
const BITS_PER_BYTE = 8;

/**
 * Quantization steps per value for a growth of `length` values to stay near the
 * target size. One bit more than fits is used, since skewed demand leaves most
 * values small and deflate saves about that much.
 */
function quantizationSteps(length: number): number {
  const bits = Math.floor((TARGET_GROWTH_BYTES * BITS_PER_BYTE) / length) + 1;
  return Math.min(2 ** bits - 1, MAX_BYTE);
}

/**
 * Growth by expert, quantized to one byte each on a square-root scale, since
 * linear steps would lose the many experts with little demand.
 */
export interface PackedGrowth {
  /** Growth of the expert with the most. */
  readonly largest: number;
  /** Byte value that stands for `largest`. */
  readonly steps: number;
  /** Base64 of the deflated bytes. */
  readonly bytes: string;
}

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

/** Undefined if the bytes are not deflated data. */
export function unpackGrowth(packed: PackedGrowth): Float64Array | undefined {
  const {largest, steps} = packed;
  const bytes = inflate(packed.bytes);
  return bytes && Float64Array.from(bytes, one => (one / steps) ** 2 * largest);
}

/** Adds `growth` to `sum` in place; if lengths differ, returns a copy of `growth`. */
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
