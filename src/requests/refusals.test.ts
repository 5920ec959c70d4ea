import * as refusals from './refusals';

describe('the combined outcome of several attempts', () => {
  it('is not-run only if no attempt may have run', () => {
    expect(refusals.worstOutcome(['not-run', 'not-run'])).toBe('not-run');
    expect(refusals.worstOutcome(['unknown', 'not-run'])).toBe('unknown');
    expect(refusals.worstOutcome(['not-run', 'ran', 'unknown'])).toBe('ran');
  });
});
