import * as outcomes from './outcomes';

describe('whether a send may have run', () => {
  // Guards against telling a caller that an unsent request may have run.
  it('is false if nothing was sent or the target refused', () => {
    expect(outcomes.mayHaveRun({kind: 'timed-out', sent: false})).toBe(false);
    expect(outcomes.mayHaveRun({kind: 'not-run', status: 503})).toBe(false);
    expect(outcomes.mayHaveRun({kind: 'not-run', status: undefined})).toBe(
      false,
    );
  });

  it('is true if it is not certain that it did not run', () => {
    expect(outcomes.mayHaveRun({kind: 'timed-out', sent: true})).toBe(true);
    expect(outcomes.mayHaveRun({kind: 'cancelled'})).toBe(true);
    expect(outcomes.mayHaveRun({kind: 'unknown', why: 'connection-lost'})).toBe(
      true,
    );
  });
});
