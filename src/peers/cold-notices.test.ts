import {Network, NetworkNode} from '../targets/network-kit';
import {ColdNotices} from './cold-notices';
import {PeerDirectory} from './peer-directory';

const ITEM = {key: 'servers/i-1', version: 7, value: {'cold-remaining-ms': 9}};

// Guards against entries that go on sending to a cold target until their next poll.
describe('notices of targets that have turned cold', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  it('reach each peer that does not watch, once, from those that do', async () => {
    const network = new Network();
    const addresses = Array.from({length: 8}, (_, at) => `10.0.0.${at}:7`);
    const heard = new Map<string, number>();
    const notices = addresses.map(address => {
      const node = network.add(new NetworkNode(address));
      const directory = new PeerDirectory(address, addresses);
      const one = new ColdNotices(
        {call: network.callFrom(node)},
        address,
        directory,
      );
      one.open({handle: node.handle}, items => {
        expect(items).toEqual([ITEM]);
        heard.set(address, (heard.get(address) ?? 0) + 1);
      });
      return one;
    });
    notices.forEach(one => one.send([]));
    expect(network.calls).toBe(0);
    notices.forEach(one => one.send([ITEM]));
    await jest.advanceTimersByTimeAsync(1_000);
    // Each of the three watchers calls the five others.
    expect([...heard.values()]).toEqual([3, 3, 3, 3, 3]);
  });
});
