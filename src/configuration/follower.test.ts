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

describe('configuration follower', () => {
  beforeEach(() => {
    jest.useFakeTimers();
    random.seed(1);
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('makes few store calls even if the store is empty', async () => {
    const store = new MemoryStore();
    const rpc = new RpcClient();
    const identity = {id: 'entry-0', hall: 'hall-a', peers: []};
    const follower = new Follower(identity, store, SILENT_LOG, () => rpc);
    await follower.start();
    await jest.advanceTimersByTimeAsync(60_000);
    // Three watches of 20 s, and the list of instances about every 2 s.
    expect(store.callCount).toBeLessThan(60);
    follower.close();
    rpc.close();
  });

  it('calls a store that is down about once a second at most', async () => {
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

  it('makes no store calls once it knows the watchers', async () => {
    const store = new SlowStore();
    store.instanceList = makeInstances(6);
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

function makeInstances(count: number): Instance[] {
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

/** Answers the list of instances so late that most calls overlap with others. */
class SlowStore extends MemoryStore {
  override async instances() {
    const LIST_MS = 15_000;
    await new Promise(resolve => setTimeout(resolve, LIST_MS));
    return super.instances();
  }
}

/** Watchers without changes. */
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
