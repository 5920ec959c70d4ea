import {PermitQueues} from './permit-queues';

describe('who waits for permits', () => {
  it('goes by urgency, then by time', () => {
    const lines = new PermitQueues();
    const [late, early, urgent] = [
      lines.positionFor('s', 2),
      lines.positionFor('s', 2),
      lines.positionFor('s', 0),
    ];
    early.join();
    late.join();
    expect([early.aheadCount, late.aheadCount, urgent.aheadCount]).toEqual([
      0, 1, 0,
    ]);
    urgent.join();
    expect([early.aheadCount, late.aheadCount, urgent.aheadCount]).toEqual([
      1, 2, 0,
    ]);
    early.join();
    expect(early.aheadCount).toBe(1);
    urgent.leave();
    early.leave();
    expect(late.aheadCount).toBe(0);
  });

  it('stands behind those of its service only, before it waits too', () => {
    const lines = new PermitQueues();
    lines.positionFor('s', 1).join();
    expect(lines.positionFor('s', 1).aheadCount).toBe(1);
    expect(lines.positionFor('s', 0).aheadCount).toBe(0);
    expect(lines.positionFor('other', 1).aheadCount).toBe(0);
  });
});
