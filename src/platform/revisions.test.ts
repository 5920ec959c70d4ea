import * as fc from 'fast-check';
import * as revisions from './revisions';

const eras = fc.integer({min: 0, max: revisions.MAX_ERA});
const revisionsInEra = fc.integer({min: 0, max: 2 ** 40 - 1});

describe('revisions of a store that may be restored from an older copy', () => {
  it('sort by era, then by revision, and can be split again', () => {
    fc.assert(
      fc.property(
        eras,
        revisionsInEra,
        eras,
        revisionsInEra,
        (era, one, otherEra, other) => {
          const first = revisions.combine(era, one);
          const second = revisions.combine(otherEra, other);
          expect(revisions.eraOf(first)).toBe(era);
          expect(revisions.revisionInEra(first)).toBe(one);
          const order = era === otherEra ? one - other : era - otherEra;
          expect(Math.sign(first - second)).toBe(Math.sign(order));
        },
      ),
      {seed: 37},
    );
  });
});
