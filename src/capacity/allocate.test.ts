import * as fc from 'fast-check';
import {AllocationRules, EntryDemand, allocate, demandOf} from './allocate';

const RULES: AllocationRules = {weightOf: () => 1, floorShare: 0.1};

function entry(
  name: string,
  ...lines: Array<[priority: number, account: string, waiting: number]>
): EntryDemand {
  return {
    entry: name,
    lines: lines.map(([priority, account, waiting]) => ({
      priority,
      account,
      inFlight: 0,
      waiting,
    })),
  };
}

function sum(shares: Map<string, number>): number {
  return [...shares.values()].reduce((total, one) => total + one, 0);
}

const demands = fc.array(
  fc.array(
    fc.record({
      priority: fc.nat(3),
      account: fc.constantFrom('', 'a', 'b', 'c'),
      inFlight: fc.nat(40),
      waiting: fc.nat(40),
    }),
    {maxLength: 6},
  ),
  {minLength: 1, maxLength: 20},
);

describe('allocate', () => {
  it('hands out the whole capacity, but at least one to each with demand', () => {
    fc.assert(
      fc.property(fc.nat(300), demands, (capacity, all) => {
        const reports = all.map((lines, at) => ({entry: `${at}`, lines}));
        const shares = allocate(capacity, reports, RULES);
        const active = reports.filter(({lines}) => demandOf(lines) > 0);
        expect(sum(shares)).toBe(Math.max(capacity, active.length));
        active.forEach(one => {
          expect(shares.get(one.entry)).toBeGreaterThanOrEqual(1);
        });
      }),
    );
  });

  it('serves a high priority first and leaves a tenth to a lower one', () => {
    const all = (urgent: number) =>
      allocate(
        160,
        [entry('x', [0, '', urgent]), entry('y', [2, '', 500])],
        RULES,
      );
    expect(all(60)).toEqual(new Map(Object.entries({x: 60, y: 100})));
    expect(all(600)).toEqual(new Map(Object.entries({x: 144, y: 16})));
  });

  it('takes nothing from a small account for one at ten times its share', () => {
    const small = entry('x', [1, 'small', 70]);
    const large = entry('y', [1, 'large', 800]);
    expect(allocate(160, [small, large], RULES).get('x')).toBe(70);
  });

  it('divides among accounts by weight', () => {
    const weightOf = (account: string) => (account === 'b' ? 3 : 1);
    const reports = [entry('x', [1, 'a', 500]), entry('y', [1, 'b', 500])];
    const shares = allocate(100, reports, {...RULES, weightOf});
    expect([shares.get('x'), shares.get('y')]).toEqual([25, 75]);
  });

  it('spreads what nobody asks for, also to entries without demand', () => {
    const shares = allocate(100, [entry('x', [1, '', 20]), entry('y')], RULES);
    expect([shares.get('x'), shares.get('y')]).toEqual([60, 40]);
  });
});
