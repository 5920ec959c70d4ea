import {CapacityAllocator} from './allocator';
import type {PoolReport} from './app';
import * as demandLines from './demand-lines';
import {HANDOVER_MS, LEASE_MS} from './timing';

const RULES = {weightOf: () => 1, floorShare: 0.1};

function makeReport(sequence: number, held: number, waiting: number) {
  const lines = [{priority: 1, account: '', inFlight: 0, waiting}];
  const report: PoolReport = {
    pool: 'p',
    sequence,
    capacity: 100,
    held,
    lines,
    isLast: false,
  };
  return report;
}

describe('CapacityAllocator', () => {
  const addresses = ['x', 'y'];
  const known = {addresses, count: 2, parts: 2, isIsolated: false};
  let allocator: CapacityAllocator;
  const ask = (entry: string, report: PoolReport, now: number) =>
    allocator.report({entry, incarnation: '1'}, report, known, now)?.share;

  beforeEach(() => {
    allocator = new CapacityAllocator(RULES);
    // Keeps the pool through the handover.
    allocator.report(
      {entry: 'x', incarnation: '0'},
      makeReport(1, 0, 1),
      known,
      0,
    );
  });

  it('raises a share only by what the other entry has confirmed to give up', () => {
    const now = HANDOVER_MS;
    allocator.noteHeld('p', 'y', 0, now);
    expect(ask('x', makeReport(1, 0, 300), now)).toBe(100);
    expect(ask('y', makeReport(1, 0, 300), now + 100)).toBe(1);
    // The answer to this report may be lost.
    expect(ask('x', makeReport(2, 100, 300), now + 200)).toBe(50);
    expect(ask('y', makeReport(2, 1, 300), now + 300)).toBe(1);
    expect(ask('x', makeReport(3, 50, 300), now + 400)).toBe(50);
    expect(ask('y', makeReport(3, 1, 300), now + 500)).toBe(50);
  });

  it('keeps an equal part for an entry that has not been heard of', () => {
    const now = HANDOVER_MS;
    expect(ask('x', makeReport(1, 0, 300), now)).toBe(50);
    allocator.noteHeld('p', 'y', 0, now);
    expect(ask('x', makeReport(2, 50, 300), now + 200)).toBe(100);
  });

  it('keeps the share of an entry whose reports have ended', () => {
    const now = HANDOVER_MS;
    allocator.noteHeld('p', 'y', 0, now);
    ask('x', makeReport(1, 0, 80), now);
    const lapsedAt = now + LEASE_MS;
    expect(ask('y', makeReport(1, 0, 300), lapsedAt)).toBeLessThanOrEqual(20);
  });

  it('ignores reports that overtake each other and more than 128 entries', () => {
    ask('x', makeReport(5, 0, 1), 0);
    expect(ask('x', makeReport(4, 0, 1), 10)).toBeUndefined();
    for (let at = 0; at < 127; at += 1) {
      ask(`${at}`, makeReport(1, 0, 1), 10);
    }
    expect(ask('y', makeReport(1, 0, 1), 10)).toBeUndefined();
  });
});

// Guards against urgent requests that count as less urgent ones because their
// lines are merged.
it('merged lines keep the ranks that come first', () => {
  const ranks = [0, 2, 1_000, 1_001, 3_002, 4_000, 5_000, 6_000, 7_000, 8_000];
  const lines = Array.from({length: 240}, (_, at) => ({
    priority: [...ranks, 9_000, 9_001][at % 12]!,
    account: `${at}`,
    inFlight: 1,
    waiting: 0,
  }));
  const compacted = demandLines.compact(lines);
  expect(compacted.length).toBeLessThanOrEqual(64);
  const inFlightOf = (all: typeof lines, rank: number) =>
    all
      .filter(({priority}) => priority === rank)
      .reduce((sum, {inFlight}) => sum + inFlight, 0);
  for (const rank of ranks.slice(0, -1)) {
    expect(inFlightOf(compacted, rank)).toBe(inFlightOf(lines, rank));
  }
});

it('reports have at most 64 lines with the same sum', () => {
  const lines = Array.from({length: 300}, (_, at) => ({
    priority: at % 12,
    account: `${at}`,
    inFlight: 1,
    waiting: at,
  }));
  const compacted = demandLines.compact(lines);
  expect(compacted.length).toBeLessThanOrEqual(64);
  const sum = compacted.reduce((total, one) => total + one.waiting, 0);
  expect(sum).toBe((299 * 300) / 2);
});
