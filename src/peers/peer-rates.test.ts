import {ConnectionRate} from '../http/connection-rate';
import {PeerRates} from './peer-rates';

describe('new connections of entries', () => {
  it('are uneven only against recent figures of peers', () => {
    const rates = new PeerRates();
    expect(rates.isUneven(1_000, 0)).toBe(false);
    rates.note('a', 10, 0);
    rates.note('b', 30, 0);
    expect(rates.isUneven(40, 1)).toBe(false);
    expect(rates.isUneven(41, 1)).toBe(true);
    rates.note('a', 200, 2);
    expect(rates.isUneven(41, 3)).toBe(false);
    expect(rates.isUneven(1_000, 10_002)).toBe(false);
  });

  it('are counted over two seconds', () => {
    const rate = new ConnectionRate();
    for (let now = 0; now < 5_000; now += 10) {
      rate.note(now);
    }
    expect(rate.perSecond(4_999)).toBe(100);
    expect(rate.perSecond(5_999)).toBe(50);
    expect(rate.perSecond(8_000)).toBe(0);
  });
});
