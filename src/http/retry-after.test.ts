import {
  MAX_RETRY_AFTER_MS,
  RetryAfterHeader,
  parseRetryAfter,
} from './retry-after';

function read(status: number, text?: string): RetryAfterHeader {
  return parseRetryAfter(
    status,
    text === undefined ? {} : {'retry-after': text},
  );
}

describe('Retry-After header', () => {
  it.each([
    ['3', 3_000],
    ['0.25', 250],
    [' 1.5 ', 1_500],
    ['.5', 500],
    ['2.', 2_000],
    ['0003', 3_000],
    ['86400', MAX_RETRY_AFTER_MS],
    ['9'.repeat(400), MAX_RETRY_AFTER_MS],
  ])('is parsed as a delay: %s', (text, ms) => {
    expect(read(503, text)).toEqual({kind: 'rest', ms});
    expect(read(429, text)).toEqual({kind: 'rest', ms});
  });

  it.each([
    '',
    'soon',
    '-1',
    '+1',
    '1e3',
    'NaN',
    'Infinity',
    '1,5',
    '3 s',
    '0x10',
    '1.2.3',
    '.',
    'Wed, 21 Oct 2015 07:28:00 GMT',
  ])('is reported as unparsable: %j', text => {
    expect(read(503, text)).toEqual({kind: 'unread', text});
  });

  it('asks for no delay if absent, zero or on other statuses', () => {
    const noDelay = {kind: 'none'};
    expect(read(503)).toEqual(noDelay);
    expect(read(503, '0')).toEqual(noDelay);
    expect(read(503, '0.0')).toEqual(noDelay);
    expect(read(200, '3')).toEqual(noDelay);
    expect(read(421, '3')).toEqual(noDelay);
  });

  it('keeps only the start of an unparsable value', () => {
    const got = read(503, 'x'.repeat(5_000));
    expect(JSON.stringify(got).length).toBeLessThan(100);
  });
});
