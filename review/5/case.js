'use strict';
/**
 * A model service with little traffic: some streams, then a lull, and so on.
 * During each burst, and for some seconds, ranks leave orders unanswered and carry
 * them out late. Afterwards, without any disruption, streams have to be served.
 */
const kit = require('../lib-2/kit');
const {Group, service} = require('../lib-2/group');

const SHAPE = {
  ranks: 12,
  sets: 4,
  experts: 72,
  places: 8,
  spare: 3,
  copyMs: 30,
  passMs: 60,
  slots: 8,
};
/** applied_late: x 0.5 for 5.5 s, again at each burst. */
const LATE_SHARE = 0.5;
const LATE_MS = 5_500;
const EPISODES = 7;
const EPISODE_MS = 12_500;
const BURSTS = 1;
const STREAMS = 4;
const BURST_GAP_MS = 350;
/** A client gives up a stream that has been silent for that long. */
const SILENCE_MS = 2_000;
const LIMIT_MS = 8_017;
const LAST_MS = 12_000;
const LAST_GAP_MS = 60;
const STREAM_HEADERS = {
  'X-Ferrycleat-Model': 'm',
  'X-Ferrycleat-Token-Counts': '860,20',
};

kit.runCase(__dirname, async (site, record, hasTrouble) => {
  await site.openStore();
  const group = new Group(SHAPE, record);
  site.addServer(group);
  const targets = [];
  for (let at = 0; at < SHAPE.ranks; at += 1) {
    const zone = ['oslo-a', 'oslo-b', 'oslo-c'][at % 3];
    targets.push(await group.openRank(site.store, site.host(), zone, 'llm'));
  }
  const ledger = new kit.PlainServer({
    name: 'i-ledger',
    service: 'ledger',
    slots: 6,
    workMs: 40,
    record,
  });
  await ledger.open(site.store, '127.0.0.1', 'oslo-a');
  site.addServer(ledger);
  site.store.write(
    'config',
    'main',
    kit.configuration(
      1,
      [
        kit.route('explain', 'streaming', 'llm', {
          'timeout-ms': 8_000,
          'target-latency-ms': 501,
          attempts: 2,
          resumable: true,
          'sticky-sessions': true,
          gap_aim_ms: 120,
          priority: 1,
        }),
        kit.route('lookup', 'safe', 'ledger', {attempts: 2}),
      ],
      [
        service('llm', SHAPE),
        {name: 'ledger', 'health-path': '/health', 'connection-limit': 100},
      ],
    ),
  );
  await site.openEntries(2);
  site.openSidecars(targets, 'llm');
  await kit.sleep(5_000);

  const counts = {stream: {sent: 0, served: 0}, lookup: {sent: 0, served: 0}};
  const pending = [];
  const send = kind => {
    const {host} = site.entries[counts[kind].sent % site.entries.length];
    counts[kind].sent += 1;
    const shape =
      kind === 'stream'
        ? {
            path: '/explain/x',
            method: 'POST',
            body: 'x'.repeat(860),
            headers: {
              ...STREAM_HEADERS,
              'X-Ferrycleat-Prompt-Prefix': `aa01:40,${Math.random().toString(16).slice(2, 10)}:820`,
            },
          }
        : {path: '/lookup/x'};
    const one = kit
      .request(host, shape, kind === 'stream' ? LIMIT_MS : 1_503, LIMIT_MS, {
        silenceMs: kind === 'stream' ? SILENCE_MS : undefined,
      })
      .then(end => {
        const isServed = end.kind === 'answer' && end.status === 200;
        counts[kind].served += isServed ? 1 : 0;
        record.line(
          `${kind} ${end.id}: ${end.kind} ${end.status ?? ''} after ${Math.round(end.ms)} ms`,
        );
        return isServed;
      });
    pending.push(one);
    return one;
  };

  for (let episode = 0; episode < EPISODES; episode += 1) {
    const startedAt = performance.now();
    group.shiftDemand();
    group.lateShare = hasTrouble ? LATE_SHARE : 0;
    const streams = [];
    for (let burst = 0; burst < BURSTS; burst += 1) {
      for (let at = 0; at < STREAMS; at += 1) {
        streams.push(send('stream'));
      }
      send('lookup');
      await kit.sleep(BURST_GAP_MS);
    }
    await kit.sleep(LATE_MS - (performance.now() - startedAt));
    group.lateShare = 0;
    const served = (await Promise.all(streams)).filter(Boolean).length;
    const held = group.ranks.flatMap(rank => rank.held ?? []);
    record.say(
      `episode ${episode}: ${served} of ${streams.length} streams served; ` +
        `pass ${group.step}, ${group.changes} maps, held: ${held.join(' ') || 'none'}`,
    );
    if (served === 0) {
      break;
    }
    await kit.sleep(EPISODE_MS - (performance.now() - startedAt));
  }
  // Ordinary traffic, without any disruption.
  const endsAt = performance.now() + LAST_MS;
  while (performance.now() < endsAt) {
    send('stream');
    send('lookup');
    send('lookup');
    await kit.sleep(LAST_GAP_MS);
  }
  await Promise.all(pending);
  const shares = Object.values(counts).map(one => one.served / one.sent);
  const all =
    (counts.stream.served + counts.lookup.served) /
    (counts.stream.sent + counts.lookup.sent);
  record.say(
    `${group.orders} orders, ${group.lateOrders} late, ` +
      `${group.mixedPasses} passes on different maps; ${JSON.stringify(counts)}; ` +
      `served of all: ${all.toFixed(2)}, of each kind: ` +
      shares.map(one => one.toFixed(2)).join(', '),
  );
  // Starved: a kind is served less than a quarter as often as all requests.
  return shares.some(share => share * 4 < all);
});
