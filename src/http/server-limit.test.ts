import {parseRateLimit} from './server-limit';

describe('what an answer names as its limit', () => {
  it.each([
    ['2', 2],
    ['0.5', 0.5],
    [' 1.25 ', 1.25],
    ['.5', 0.5],
    ['3.', 3],
    ['0', 0],
    ['007', 7],
    ['999999', 999_999],
  ])('is a limit: %s', (text, perSecond) => {
    expect(parseRateLimit(text)).toEqual({kind: 'limit', perSecond});
  });

  it.each(['', 'few', '-1', '+1', '1e3', 'NaN', 'Infinity', '1,5', '2/s', '.'])(
    'is nothing that can be read: %j',
    text => {
      expect(parseRateLimit(text)).toEqual({kind: 'unread', text});
    },
  );

  it('is no limit that anybody means where it is huge', () => {
    const text = '9'.repeat(400);
    expect(parseRateLimit(text)).toEqual({
      kind: 'unread',
      text: '9'.repeat(40),
    });
  });

  it('is none without the header', () => {
    expect(parseRateLimit(undefined)).toEqual({kind: 'none'});
  });
});
