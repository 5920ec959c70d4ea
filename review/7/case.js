'use strict';
/**
 * An entry that has answered short streams gets SIGTERM while twelve clients read a
 * stream each. They send their next one, a long one, on the channels that they keep,
 * more than 3 s after the SIGTERM. None of these may be cut.
 */
const http = require('node:http');
const kit = require('../lib-2/kit');
const {StreamServer} = require('../lib-2/streams');

const EVENT_MS = 85;
const CLIENTS = 12;
/** Streams of up to so many events, some 2 s, before the stop. */
const USUAL_EVENTS = 22;
const USUAL_ROUNDS = 5;
/** Those that are under way at the SIGTERM end 3.1 s after it. */
const LAST_EVENTS = 38;
const LEAD_MS = 90;
/** The most that a stream has in the site file. */
const LONG_EVENTS = 60;
const LIMIT_MS = 8_017;
const GRACE_MS = 8_000;
/** Requests sent up to then may still be at their servers when the time is over. */
const EXCUSED_MS = 3_000;
const ROUTES = ['dispute', 'bill'];

kit.runCase(__dirname, async (site, record, hasTrouble) => {
  await site.openStore();
  for (let at = 0; at < 3; at += 1) {
    const server = new StreamServer({
      name: `i-${at}`,
      service: 'llm',
      slots: 8,
      eventMs: EVENT_MS,
      record,
    });
    await server.listen(site.store, '127.0.0.1', 'oslo-a');
    site.addServer(server);
  }
  const route = (name, extra) =>
    kit.route(name, 'streaming', 'llm', {
      'timeout-ms': 8_000,
      'target-latency-ms': 501,
      attempts: 2,
      gap_aim_ms: 120,
      ...extra,
    });
  site.store.write(
    'config',
    'main',
    kit.configuration(
      1,
      [route('dispute', {resumable: true}), route('bill', {resumable: false})],
      [{name: 'llm', 'health-path': '/health', 'connection-limit': 348}],
    ),
  );
  await site.openEntries(1);
  await kit.sleep(1_500);
  const [entry] = site.entries;

  let lastId = 0;
  /** Sends a stream on the client's channel; resolves when it has ended. */
  const stream = (client, events, sentAfter = () => 0, onHead = () => {}) => {
    const path = `/${ROUTES[client.at % 2]}/${events}/x`;
    lastId += 1;
    const id = `s${process.pid.toString(16)}x${lastId}`;
    const sentAt = performance.now();
    const afterMs = sentAfter(sentAt);
    return new Promise(resolve => {
      const end = (kind, status, text) => {
        const ms = Math.round(performance.now() - sentAt);
        const count = (text.match(/^id: /gm) ?? []).length;
        record.line(
          `client ${client.at} ${id} ${path}: ${kind} ${status ?? ''}, ` +
            `${count} of ${events} events, sent ${Math.round(afterMs)} ms after the SIGTERM, ended after ${ms} ms`,
        );
        resolve({kind, status, afterMs, ms});
      };
      const req = http.request(
        {
          agent: client.agent,
          host: entry.host,
          port: 8227,
          path,
          method: 'POST',
          headers: {
            Host: kit.HOST,
            [kit.ID]: id,
            [kit.TIME_LEFT]: String(LIMIT_MS),
            Authorization: `Bearer ${kit.KEY}`,
          },
        },
        res => {
          onHead();
          let text = '';
          res.on('data', chunk => (text += chunk));
          res.on('error', () => undefined);
          res.on('close', () =>
            end(res.complete ? 'whole' : 'cut', res.statusCode, text),
          );
        },
      );
      req.on('error', err => end(`closed (${err.code})`, undefined, ''));
      req.end('x'.repeat(700));
    });
  };

  const clients = Array.from({length: CLIENTS}, (_, at) => ({
    at,
    agent: new http.Agent({keepAlive: true, maxSockets: 1}),
  }));
  await Promise.all(
    clients.map(async client => {
      for (let round = 0; round < USUAL_ROUNDS; round += 1) {
        await stream(client, USUAL_EVENTS - 10 + ((client.at + round) % 11));
      }
    }),
  );

  let stoppedAt = Infinity;
  const afterStop = at => at - stoppedAt;
  let heads = 0;
  const last = clients.map(async client => {
    await stream(
      client,
      LAST_EVENTS,
      () => -LEAD_MS,
      () => (heads += 1),
    );
    return stream(client, LONG_EVENTS, afterStop);
  });
  // Heads that are sent after the SIGTERM ask to close the channel.
  while (heads < CLIENTS) {
    await kit.sleep(1);
  }
  stoppedAt = performance.now();
  if (hasTrouble) {
    record.say('SIGTERM');
    entry.child.kill('SIGTERM');
    setTimeout(() => entry.child.kill('SIGKILL'), GRACE_MS);
  }
  const ends = await Promise.all(last);
  clients.forEach(client => client.agent.destroy());
  // Passed on to a server, and the channel closes with no complete answer.
  const cut = ends.filter(
    ({kind, afterMs}) => kind === 'cut' && afterMs > EXCUSED_MS,
  );
  const others = ends.filter(({kind}) => kind !== 'cut');
  record.say(
    `${ends.length} streams sent on kept channels; ${cut.length} sent more than ` +
      `${EXCUSED_MS} ms after the SIGTERM were cut; ` +
      `the others: ${others.map(one => `${one.kind} ${one.status ?? ''}`).join(', ') || 'none'}`,
  );
  return cut.length > 0;
});
