import * as outcomes from './outcomes';

describe('whether a send may have run', () => {
  // A request whose only send ended for time before it left was told 502, which
  // says that it may have run, and could not be repeated.
  it('is no where nothing was sent', () => {
    expect(outcomes.mayHaveRun({kind: 'timed-out', sent: false})).toBe(false);
    expect(outcomes.mayHaveRun({kind: 'not-run', status: 503})).toBe(false);
    expect(outcomes.mayHaveRun({kind: 'not-run', status: undefined})).toBe(
      false,
    );
  });

  it('is yes where nobody can say that it has not', () => {
    expect(outcomes.mayHaveRun({kind: 'timed-out', sent: true})).toBe(true);
    expect(outcomes.mayHaveRun({kind: 'cancelled'})).toBe(true);
    expect(outcomes.mayHaveRun({kind: 'unknown', why: 'connection-lost'})).toBe(
      true,
    );
  });
});
