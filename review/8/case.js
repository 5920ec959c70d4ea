'use strict';
/**
 * The open channels on which three entries watch the servers go silent; new ones work.
 * When the entries have been in touch again for a while, a server leaves.
 */
const kit = require('../lib-2/kit');
const {SilentProxy} = require('../lib-2/silent-proxy');

const ENTRIES = 3;
const SERVERS = 3;
const PER_S = 60;
const CALM_MS = 3_000;
/** contact-ms is 3 s: later, the entries are in touch. */
const AFTER_SILENCE_MS = 4_000;
const DRAIN_MS = 2_000;
/** The server serves on for drain-ms and, at times, many seconds. */
const LINGER_MS = 5_000;
const WATCH_OF_SERVERS = /^\/api\/objects\/servers\?watch=/;

kit.runCase(__dirname, async (site, record, hasTrouble) => {
  await site.openStore();
  const servers = [];
  for (let at = 0; at < SERVERS; at += 1) {
    const server = new kit.PlainServer({
      name: `i-${at}`,
      service: 'ledger',
      slots: 6,
      workMs: 60,
      record,
    });
    await server.open(site.store, '127.0.0.1', 'oslo-a');
    site.addServer(server);
    servers.push(server);
  }
  site.store.write(
    'config',
    'main',
    kit.configuration(
      1,
      [
        kit.route('unsafe', 'unsafe', 'ledger'),
        kit.route('safe', 'safe', 'ledger', {attempts: 2}),
      ],
      [{name: 'ledger', 'health-path': '/health', 'connection-limit': 100}],
    ),
  );
  const proxies = [];
  await site.openEntries(ENTRIES, async () => {
    const proxy = new SilentProxy(site.storeAddress);
    proxies.push(proxy);
    site.addServer(proxy);
    return {address: await proxy.open()};
  });
  await kit.sleep(4_000);

  const pending = [];
  let sent = 0;
  const send = async ms => {
    const startedAt = performance.now();
    for (let at = 0; at < (ms * PER_S) / 1_000; at += 1) {
      await kit.sleep(startedAt + (at * 1_000) / PER_S - performance.now());
      const {host} = site.entries[sent % ENTRIES];
      const shape =
        sent % 2 === 0
          ? {path: '/safe/x'}
          : {path: '/unsafe/x', method: 'POST', body: 'x'.repeat(600)};
      sent += 1;
      pending.push(
        kit.request(host, shape, 4_012, 4_012).then(end => {
          record.line(
            `${end.id} ${shape.path}: ${end.kind} ${end.status ?? end.error ?? ''}`,
          );
          return end;
        }),
      );
    }
  };

  await send(CALM_MS);
  if (hasTrouble) {
    const counts = proxies.map(proxy => proxy.silence(WATCH_OF_SERVERS));
    record.say(`channels that go silent, by entry: ${counts.join(', ')}`);
  }
  await send(AFTER_SILENCE_MS);
  const [leaving] = servers;
  leaving.write({state: 'draining', sequence: 2});
  const drainedAt = performance.now();
  record.say(`${leaving.name} is draining: the store has taken it`);
  const before = leaving.arrivals.length;
  await send(DRAIN_MS + LINGER_MS);
  site.store.remove('servers', leaving.name);
  leaving.stopListening();
  record.say(`${leaving.name} ends`);
  await send(2_000);
  const ends = await Promise.all(pending);
  const late = leaving.arrivals
    .slice(before)
    .filter(at => at > drainedAt + DRAIN_MS);
  const failed = ends.filter(
    ({kind, status}) => kind !== 'answer' || status !== 200,
  );
  record.say(
    `${late.length} requests reached ${leaving.name} more than ${DRAIN_MS} ms after ` +
      `the confirmation; of ${ends.length} requests ${failed.length} were not served`,
  );
  return late.length > 0;
});
