'use strict';
/**
 * Some ranks of a group hand out wrong bytes for some seconds: the head of a `101`
 * in place of a few of their answers, here of those to `arm`. Afterwards, without
 * any disruption, streams have to be served.
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
/** garble: share 0.5 of the servers, x 0.03 of their answers, for 5 s. */
const WRONG_SHARE = 0.03;
const CALM_MS = 3_000;
const WRONG_MS = 5_000;
const LAST_MS = 40_000;
const GAP_MS = 100;
/** Other experts are in demand. */
const SHIFT_MS = 2_500;
/** A client gives up a stream that has been silent for that long. */
const SILENCE_MS = 2_000;
const LIMIT_MS = 8_017;

kit.runCase(__dirname, async (site, record, hasTrouble) => {
  await site.openStore();
  const group = new Group(SHAPE, record);
  group.isWrongRank = rank => rank.at >= SHAPE.ranks / 2;
  group.wrongOp = 'arm';
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
    const part = Math.random().toString(16).slice(2, 10);
    const shape =
      kind === 'lookup'
        ? {path: '/lookup/x'}
        : {
            path: '/explain/x',
            method: 'POST',
            body: 'x'.repeat(860),
            headers: {
              'X-Ferrycleat-Model': 'm',
              'X-Ferrycleat-Token-Counts': '860,60',
              'X-Ferrycleat-Prompt-Prefix': `aa01:40,${part}:820`,
            },
          };
    const isStream = kind === 'stream';
    const options = {silenceMs: isStream ? SILENCE_MS : undefined};
    pending.push(
      kit
        .request(host, shape, isStream ? LIMIT_MS : 1_503, LIMIT_MS, options)
        .then(end => {
          counts[kind].served +=
            end.kind === 'answer' && end.status === 200 ? 1 : 0;
          record.line(
            `${kind} ${end.id}: ${end.kind} ${end.status ?? ''} after ${Math.round(end.ms)} ms`,
          );
        }),
    );
  };
  const play = async ms => {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
      send('stream');
      send('lookup');
      await kit.sleep(GAP_MS);
    }
  };

  const shifts = setInterval(() => group.shiftDemand(), SHIFT_MS);
  await play(CALM_MS);
  group.beginWrong(hasTrouble ? WRONG_SHARE : 0);
  await play(WRONG_MS);
  group.beginWrong(0);
  record.say(
    `the wrong bytes have ended: ${group.wrongAnswers}; ${JSON.stringify(counts)}`,
  );
  await play(LAST_MS);
  clearInterval(shifts);
  await Promise.all(pending);
  const shares = Object.values(counts).map(one => one.served / one.sent);
  const all =
    (counts.stream.served + counts.lookup.served) /
    (counts.stream.sent + counts.lookup.sent);
  const held = group.ranks.flatMap(rank => rank.held ?? []);
  record.say(
    `pass ${group.step}, held: ${held.join(' ') || 'none'}, ` +
      `${group.mixedPasses} passes on different maps; ${JSON.stringify(counts)}; ` +
      `served of all: ${all.toFixed(2)}, of each kind: ` +
      shares.map(one => one.toFixed(2)).join(', '),
  );
  // Starved: a kind is served less than a quarter as often as all requests.
  return shares.some(share => share * 4 < all);
});
