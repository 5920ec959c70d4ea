import type {GroupView} from '../experts/types';
import {shouldMove} from './slow-ranks';

const SLOTS = 6;

function viewOf(requests: number[], slow: GroupView['slow']): GroupView {
  return {requests, imbalance: 1.2, slow};
}

describe('streams on slow ranks', () => {
  it('move off a rank that is much slower than the others, and only that one', () => {
    const view = viewOf([4, 3, 2], [{rank: 1, slowness: 12}]);
    expect(shouldMove(view, 1, SLOTS)).toBe(true);
    expect(shouldMove(view, 0, SLOTS)).toBe(false);
    expect(shouldMove(view, undefined, SLOTS)).toBe(false);
  });

  it('stay on a rank that is only slightly slower', () => {
    const view = viewOf([4, 3, 2], [{rank: 1, slowness: 1.6}]);
    expect(shouldMove(view, 1, SLOTS)).toBe(false);
  });

  it('stay if the other ranks have no free slots for them', () => {
    const slow = [
      {rank: 0, slowness: 12},
      {rank: 1, slowness: 12},
    ];
    expect(shouldMove(viewOf([2, 2, 2], slow), 1, SLOTS)).toBe(true);
    expect(shouldMove(viewOf([2, 3, 2], slow), 1, SLOTS)).toBe(false);
  });
});
