import {MemoryStore} from './memory-store';
import {WatchEvent, WatchLoop} from './watch-loop';

const WAIT_MS = 400;

describe('following a kind of objects', () => {
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

  it('lists first, and proves no more than when it asked', async () => {
    const begunAt = performance.now();
    await sleep(20);
    expect(kinds()).toEqual(['listed', 'contact']);
    expect(lastContact(events)).toBeLessThanOrEqual(begunAt + 5);
  });

  it('proves the whole wait of a watch that nothing came of', async () => {
    const begunAt = performance.now();
    await sleep(WAIT_MS + 100);
    expect(lastContact(events)).toBeGreaterThanOrEqual(begunAt + WAIT_MS - 5);
    expect(lastContact(events)).toBeLessThanOrEqual(performance.now());
  });

  it('proves only the time of asking where a watch brought news', async () => {
    await sleep(50);
    const askedBefore = performance.now();
    await store.put('things/a', 1, 0);
    await sleep(20);
    expect(kinds()).toEqual(['listed', 'contact', 'changed', 'contact']);
    expect(lastContact(events)).toBeLessThanOrEqual(askedBefore);
  });

  it('asks once for changes in quick succession', async () => {
    await sleep(20);
    for (let at = 0; at < 8; at += 1) {
      await store.put(`things/${at}`, at, 0);
      await sleep(10);
    }
    await sleep(250);
    const told = events.flatMap(event =>
      event.kind === 'changed' ? [event.listing.items.length] : [],
    );
    expect(told).toEqual([1, 7]);
  });

  it('lists anew when it is told to', async () => {
    await sleep(20);
    loop.restart();
    await sleep(20);
    expect(kinds()).toEqual(['listed', 'contact', 'listed', 'contact']);
  });

  it('tells once that the store is lost', async () => {
    store.isDown = true;
    loop.restart();
    await sleep(400);
    expect(kinds().filter(kind => kind === 'lost')).toEqual(['lost']);
    store.isDown = false;
    await sleep(600);
    expect(kinds().at(-1)).toBe('contact');
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
