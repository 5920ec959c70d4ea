import * as v from 'valibot';
import {SILENT_LOG} from '../observability/log';
import {MemoryStore} from '../platform/memory-store';
import type {Instance} from '../platform/types';
import * as random from '../random';
import {ok} from '../result';
import * as rendezvous from '../routing/rendezvous';
import {RpcClient} from '../rpc/client';
import type {Method} from '../rpc/types';
import {Follower} from './follower';

describe('a follower on its own', () => {
  beforeEach(() => {
    jest.useFakeTimers();
    random.seed(1);
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
    expect(store.callCount).toBeLessThan(60);
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
    store.callCount = 0;
    await jest.advanceTimersByTimeAsync(60_000);
    expect(store.callCount).toBeLessThan(90);
    follower.close();
    rpc.close();
  });

  it('leaves the store to the watchers once it knows of them', async () => {
    const store = new SlowStore();
    store.instanceList = makeMates(6);
    const rpc = new WaitingRpc();
    const last = rendezvous.rankByKey(
      'hall-a',
      store.instanceList,
      i => i.id,
    )[5]!;
    const identity = {id: last.id, hall: 'hall-a', peers: []};
    const follower = new Follower(identity, store, SILENT_LOG, () => rpc);
    await follower.start();
    await jest.advanceTimersByTimeAsync(80_000);
    store.callCount = 0;
    await jest.advanceTimersByTimeAsync(60_000);
    expect(store.callCount).toBe(0);
    follower.close();
    rpc.close();
  });
});

function makeMates(count: number): Instance[] {
  return Array.from({length: count}, (_, at) => ({
    id: `mate-${at}`,
    hall: 'hall-a',
    role: 'entry' as const,
    address: `127.0.0.1:${1_000 + at}`,
    state: 'live' as const,
    serves: '',
    group: '',
    rank: 0,
  }));
}

/** Its list is nearly always on the way when something else happens. */
class SlowStore extends MemoryStore {
  override async instances() {
    const LIST_MS = 15_000;
    await new Promise(resolve => setTimeout(resolve, LIST_MS));
    return super.instances();
  }
}

/** Watchers that have no news. */
class WaitingRpc extends RpcClient {
  override async call<P, R>(_address: string, method: Method<P, R>) {
    await new Promise(resolve => setTimeout(resolve, 20_000));
    const nothing = {
      delta: {complete: 0, items: []},
      instances: null,
      instancesDigest: '',
    };
    return ok(v.parse(method.result, nothing));
  }
}
