/** The memory limit of a process whose platform states none. */
import * as v8 from 'node:v8';

const MEGABYTE = 1_000_000;
/** Buffers are outside the heap. */
const HEAP_FACTOR = 2;

/** In bytes; 0 megabytes: by the heap limit of the runtime. */
export function bytesOf(megabytes: number): number {
  return megabytes === 0
    ? v8.getHeapStatistics().heap_size_limit * HEAP_FACTOR
    : megabytes * MEGABYTE;
}
