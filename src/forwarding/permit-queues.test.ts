import {PermitQueues} from './permit-queues';

describe('the queue for permits', () => {
  it('is ordered by priority, then by arrival', () => {
    const queues = new PermitQueues();
    const [late, early, urgent] = [
      queues.positionFor('s', 2),
      queues.positionFor('s', 2),
      queues.positionFor('s', 0),
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

  it('counts requests of the same service, also before joining', () => {
    const queues = new PermitQueues();
    queues.positionFor('s', 1).join();
    expect(queues.positionFor('s', 1).aheadCount).toBe(1);
    expect(queues.positionFor('s', 0).aheadCount).toBe(0);
    expect(queues.positionFor('other', 1).aheadCount).toBe(0);
  });
});
