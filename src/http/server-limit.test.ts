import {parseRateLimit} from './server-limit';

describe('rate limit header', () => {
  it.each([
    ['2', 2],
    ['0.5', 0.5],
    [' 1.25 ', 1.25],
    ['.5', 0.5],
    ['3.', 3],
    ['0', 0],
    ['007', 7],
    ['999999', 999_999],
  ])('is parsed as requests per second: %s', (text, perSecond) => {
    expect(parseRateLimit(text)).toEqual({kind: 'limit', perSecond});
  });

  it.each(['', 'few', '-1', '+1', '1e3', 'NaN', 'Infinity', '1,5', '2/s', '.'])(
    'is reported as unparsable: %j',
    text => {
      expect(parseRateLimit(text)).toEqual({kind: 'unread', text});
    },
  );

  it('is reported as unparsable if implausibly large', () => {
    const text = '9'.repeat(400);
    expect(parseRateLimit(text)).toEqual({
      kind: 'unread',
      text: '9'.repeat(40),
    });
  });

  it('sets no limit if absent', () => {
    expect(parseRateLimit(undefined)).toEqual({kind: 'none'});
  });
});
