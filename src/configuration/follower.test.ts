import {SILENT_LOG} from '../observability/log';
import {MemoryStore} from '../platform/memory-store';
import {RpcClient} from '../rpc/client';
import {Follower} from './follower';

describe('a follower on its own', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('makes few store calls, also while the store is empty', async () => {
    const store = new MemoryStore();
    const rpc = new RpcClient();
    const identity = {id: 'entry-0', hall: 'hall-a', peers: []};
    const follower = new Follower(identity, store, SILENT_LOG, () => rpc);
    await follower.start();
    await jest.advanceTimersByTimeAsync(60_000);
    // Three waits of 20 s, and the list of instances every 2 s or so.
    expect(store.calls).toBeLessThan(60);
    follower.close();
    rpc.close();
  });

  it('asks a store that is down no more than about once a second', async () => {
    const store = new MemoryStore();
    const rpc = new RpcClient();
    const identity = {id: 'entry-0', hall: 'hall-a', peers: []};
    const follower = new Follower(identity, store, SILENT_LOG, () => rpc);
    await follower.start();
    store.isDown = true;
    store.calls = 0;
    await jest.advanceTimersByTimeAsync(60_000);
    expect(store.calls).toBeLessThan(90);
    follower.close();
    rpc.close();
  });
});
