import {fail} from '../result';
import {MemoryStore} from './memory-store';
import {WatchEvent, WatchLoop} from './watch-loop';

const WAIT_MS = 400;

describe('watch loop', () => {
  let store: MemoryStore;
  let loop: WatchLoop;
  let events: WatchEvent[];

  beforeEach(() => {
    store = new MemoryStore();
    loop = new WatchLoop(store, 'things', () => WAIT_MS);
    events = [];
    loop.events.subscribe(event => events.push(event));
    void loop.run();
  });

  afterEach(() => {
    loop.close();
    store.close();
  });

  function kinds(): string[] {
    return events.map(event => event.kind);
  }

  it('lists first and confirms the time of the request', async () => {
    const startedAt = performance.now();
    await sleep(20);
    expect(kinds()).toEqual(['listed', 'contact']);
    expect(lastContact(events)).toBeLessThanOrEqual(startedAt + 5);
  });

  it('confirms the whole wait of a watch without changes', async () => {
    const startedAt = performance.now();
    await sleep(WAIT_MS + 100);
    expect(lastContact(events)).toBeGreaterThanOrEqual(startedAt + WAIT_MS - 5);
    expect(lastContact(events)).toBeLessThanOrEqual(performance.now());
  });

  it('confirms only the time of the request if a watch had changes', async () => {
    await sleep(50);
    const askedBefore = performance.now();
    await store.put('things/a', 1, 0);
    await sleep(20);
    expect(kinds()).toEqual(['listed', 'contact', 'changed', 'contact']);
    expect(lastContact(events)).toBeLessThanOrEqual(askedBefore);
  });

  it('gets changes in quick succession with one call', async () => {
    await sleep(20);
    for (let at = 0; at < 8; at += 1) {
      await store.put(`things/${at}`, at, 0);
      await sleep(10);
    }
    await sleep(250);
    const counts = events.flatMap(event =>
      event.kind === 'changed' ? [event.listing.items.length] : [],
    );
    expect(counts).toEqual([1, 7]);
  });

  it('lists again after a restart', async () => {
    await sleep(20);
    loop.restart();
    await sleep(20);
    expect(kinds()).toEqual(['listed', 'contact', 'listed', 'contact']);
  });

  it('reports an outage of the store once', async () => {
    store.isDown = true;
    loop.restart();
    await sleep(400);
    expect(kinds().filter(kind => kind === 'lost')).toEqual(['lost']);
    store.isDown = false;
    await sleep(600);
    expect(kinds().at(-1)).toBe('contact');
  });
});

/** The connections that are open say nothing more; new ones work. */
class SilentStore extends MemoryStore {
  newConnectionCount = 0;
  isSilent = false;

  override async watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
    isOnNewConnection = false,
  ) {
    this.newConnectionCount += isOnNewConnection ? 1 : 0;
    const answer = await super.watch(prefix, after, waitMs, signal);
    if (this.isSilent && !isOnNewConnection) {
      await new Promise<void>(resolve => {
        signal?.addEventListener('abort', () => resolve());
        if (signal?.aborted) {
          resolve();
        }
      });
      return fail({kind: 'unavailable' as const, maybeApplied: false});
    }
    return answer;
  }
}

/** Guards against changes that are missed for as long as a watch waits. */
describe('a watch on a connection that has gone silent', () => {
  let store: SilentStore;
  let loop: WatchLoop;
  let names: string[];

  beforeEach(async () => {
    store = new SilentStore();
    loop = new WatchLoop(store, 'things', () => 20_000);
    names = [];
    loop.events.subscribe(event => {
      if (event.kind === 'listed' || event.kind === 'changed') {
        names.push(event.kind, ...event.listing.items.map(item => item.key));
      }
    });
    void loop.run();
    await sleep(20);
    store.isSilent = true;
  });

  afterEach(() => {
    loop.close();
    store.close();
  });

  it('is asked again once another answer shows a newer revision', async () => {
    const put = await store.put('things/a', 1, 0);
    await sleep(500);
    expect(names).toEqual(['listed']);
    loop.noteStoreRevision(put.ok ? put.value : 0);
    await sleep(500);
    // It goes on from its revision, and lists nothing again.
    expect(names).toEqual(['listed', 'changed', 'things/a']);
  });

  it('is not asked again for a revision that it has', async () => {
    loop.noteStoreRevision(loop.knownRevision);
    await sleep(500);
    expect(store.newConnectionCount).toBe(0);
  });

  it('is asked again at intervals while other kinds change', async () => {
    for (let at = 0; at < 10; at += 1) {
      const put = await store.put(`others/${at}`, at, 0);
      loop.noteStoreRevision(put.ok ? put.value : 0);
      await sleep(100);
    }
    expect(store.newConnectionCount).toBe(1);
  });
});

function lastContact(events: readonly WatchEvent[]): number {
  const contacts = events.flatMap(event =>
    event.kind === 'contact' ? [event.since] : [],
  );
  return contacts[contacts.length - 1]!;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
