import type {GroupView} from '../experts/types';
import {shouldMove} from './slow-ranks';

const SLOTS = 6;

function viewOf(requests: number[], slow: GroupView['slow']): GroupView {
  return {requests, imbalance: 1.2, slow};
}

describe('streams on slow ranks', () => {
  it('leave a rank that is far slower than the others, and only that', () => {
    const view = viewOf([4, 3, 2], [{rank: 1, slowness: 12}]);
    expect(shouldMove(view, 1, SLOTS)).toBe(true);
    expect(shouldMove(view, 0, SLOTS)).toBe(false);
    expect(shouldMove(view, undefined, SLOTS)).toBe(false);
  });

  it('stay where a move costs more than it brings', () => {
    const view = viewOf([4, 3, 2], [{rank: 1, slowness: 1.6}]);
    expect(shouldMove(view, 1, SLOTS)).toBe(false);
  });

  it('stay where the other ranks have no room for them', () => {
    const slow = [
      {rank: 0, slowness: 12},
      {rank: 1, slowness: 12},
    ];
    expect(shouldMove(viewOf([2, 2, 2], slow), 1, SLOTS)).toBe(true);
    expect(shouldMove(viewOf([2, 3, 2], slow), 1, SLOTS)).toBe(false);
  });
});
