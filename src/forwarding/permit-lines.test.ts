import {PermitLines} from './permit-lines';

describe('who waits for permits', () => {
  it('goes by urgency, then by time', () => {
    const lines = new PermitLines();
    const [late, early, urgent] = [
      lines.placeFor('s', 2),
      lines.placeFor('s', 2),
      lines.placeFor('s', 0),
    ];
    early.join();
    late.join();
    expect([early.ahead, late.ahead, urgent.ahead]).toEqual([0, 1, 0]);
    urgent.join();
    expect([early.ahead, late.ahead, urgent.ahead]).toEqual([1, 2, 0]);
    early.join();
    expect(early.ahead).toBe(1);
    urgent.leave();
    early.leave();
    expect(late.ahead).toBe(0);
  });

  it('stands behind those of its service only, before it waits too', () => {
    const lines = new PermitLines();
    lines.placeFor('s', 1).join();
    expect(lines.placeFor('s', 1).ahead).toBe(1);
    expect(lines.placeFor('s', 0).ahead).toBe(0);
    expect(lines.placeFor('other', 1).ahead).toBe(0);
  });
});
