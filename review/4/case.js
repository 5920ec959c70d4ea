'use strict';
/**
 * Some servers hand out wrong bytes for some seconds: the head of a `101` in place
 * of an answer, after which they close the channel. Every request has to be
 * answered by its route's time-out.
 */
const kit = require('../lib-2/kit');

const SERVERS = 5;
const SLOTS = 6;
const WORK_MS = 40;
const PER_S = 300;
/** garble: share 0.6 of the servers, x 0.03 of their answers, for 5 s. */
const GARBLED_SERVERS = 3;
const GARBLED_EACH = 34;
const GARBLE_MS = 5_000;
const CALM_MS = 3_000;
const TIMEOUT_MS = 1_500;
const LIMIT_MS = 4_012;
const SLACK_MS = 500;
const HEAD =
  'HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n';

kit.runCase(__dirname, async (site, record, hasTrouble) => {
  await site.openStore();
  const servers = [];
  for (let at = 0; at < SERVERS; at += 1) {
    const server = new kit.PlainServer({
      name: `i-${at}`,
      service: 'ledger',
      slots: SLOTS,
      workMs: WORK_MS,
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
  await site.openEntries(2);
  await kit.sleep(2_000);

  const pending = [];
  let sent = 0;
  const send = async ms => {
    const startedAt = performance.now();
    for (let at = 0; at < (ms * PER_S) / 1_000; at += 1) {
      await kit.sleep(startedAt + (at * 1_000) / PER_S - performance.now());
      const {host} = site.entries[sent % site.entries.length];
      const isSafe = sent % 2 === 0;
      sent += 1;
      const shape = isSafe
        ? {path: '/safe/x'}
        : {path: '/unsafe/x', method: 'POST', body: 'x'.repeat(600)};
      const patience = LIMIT_MS;
      pending.push(
        kit.request(host, shape, LIMIT_MS, patience).then(end => {
          const text = end.status ?? end.error ?? '';
          record.line(
            `${end.id} ${shape.path}: ${end.kind} ${text} after ${Math.round(end.ms)} ms`,
          );
          return end;
        }),
      );
    }
  };

  await send(CALM_MS);
  record.say('the wrong bytes begin');
  for (const server of servers.slice(0, hasTrouble ? GARBLED_SERVERS : 0)) {
    let count = 0;
    server.spoil = () => {
      count += 1;
      return count % GARBLED_EACH === 0 ? HEAD : undefined;
    };
  }
  await send(GARBLE_MS);
  servers.forEach(server => (server.spoil = () => undefined));
  record.say('the wrong bytes end');
  await send(CALM_MS);
  const ends = await Promise.all(pending);

  const late = ends.filter(end => end.ms > TIMEOUT_MS);
  const unanswered = late.filter(end => end.ms > TIMEOUT_MS + SLACK_MS);
  const never = ends.filter(end => end.kind === 'no answer');
  record.say(
    `${ends.length} requests; ${late.length} without an answer at the route's ` +
      `time-out, ${unanswered.length} of them ${SLACK_MS} ms later; ` +
      `${never.length} never answered within ${LIMIT_MS} ms`,
  );
  // CONFIG: eight or more of them, and more than half.
  return unanswered.length >= 8 && unanswered.length * 2 > late.length;
});
