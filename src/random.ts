/** Pseudorandom numbers from one generator per process; not for secrets. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

let generator = makeGenerator(seedFromClock());

function seedFromClock(): number {
  const [seconds, nanoseconds] = process.hrtime();
  return (seconds * 1_000_003) ^ nanoseconds ^ (process.pid << 8);
}

function makeGenerator(seed: number) {
  return xoroshiro.xoroshiro128plus(seed);
}

/** Makes the following numbers repeatable. */
export function seed(value: number): void {
  generator = makeGenerator(value);
}

/** A number in [0, 1). */
export function uniform(): number {
  const RANGE = 2 ** 32;
  return (generator.next() >>> 0) / RANGE;
}

/** An integer in [0, limit). */
export function integerBelow(limit: number): number {
  return Math.floor(uniform() * limit);
}

/** One element; the list must not be empty. */
export function pick<T>(list: readonly T[]): T {
  return list[integerBelow(list.length)]!;
}

/** Up to `count` elements without replacement, in random order. */
export function sample<T>(list: readonly T[], count: number): T[] {
  const left = [...list];
  const drawn: T[] = [];
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(integerBelow(left.length), 1));
  }
  return drawn;
}

/** A duration from 0.5 to 1.5 times the given one. */
export function jitter(milliseconds: number): number {
  return milliseconds * (0.5 + uniform());
}

/** A sample of the exponential distribution with the given mean. */
export function exponential(mean: number): number {
  return -Math.log(1 - uniform()) * mean;
}
