'use strict';
/**
 * A group of model servers with their sidecars, a plain service and two entries, and
 * clients that send streams and lookups.
 */
const kit = require('./kit');
const {Group, service} = require('./group');

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
/** A client gives up a stream that has been silent for that long. */
const SILENCE_MS = 2_000;
const STREAM_LIMIT_MS = 8_017;
const LOOKUP_LIMIT_MS = 1_503;

class ModelSite {
  constructor(site, record) {
    this.site = site;
    this.record = record;
    this.group = new Group(SHAPE, record);
    this.sent = 0;
    /** How each request ended. */
    this.ends = [];
    this.pending = [];
  }

  async open() {
    const {site, group, record} = this;
    await site.openStore();
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
  }

  /** `tokens`: those of the answer, four an event. */
  send(kind, tokens = 60) {
    const {site, record} = this;
    const {host} = site.entries[this.sent % site.entries.length];
    this.sent += 1;
    const isStream = kind === 'stream';
    const part = Math.random().toString(16).slice(2, 10);
    const shape = isStream
      ? {
          path: '/explain/x',
          method: 'POST',
          body: 'x'.repeat(860),
          headers: {
            'X-Ferrycleat-Model': 'm',
            'X-Ferrycleat-Token-Counts': `860,${tokens}`,
            'X-Ferrycleat-Prompt-Prefix': `aa01:40,${part}:820`,
          },
        }
      : {path: '/lookup/x'};
    const limitMs = isStream ? STREAM_LIMIT_MS : LOOKUP_LIMIT_MS;
    const options = {silenceMs: isStream ? SILENCE_MS : undefined};
    const one = kit
      .request(host, shape, limitMs, limitMs, options)
      .then(end => {
        const isServed = end.kind === 'answer' && end.status === 200;
        this.ends.push({kind, isServed, sentAt: end.sentAt});
        record.line(
          `${kind} ${end.id}: ${end.kind} ${end.status ?? end.error ?? ''} ` +
            `after ${Math.round(end.ms)} ms`,
        );
        return isServed;
      });
    this.pending.push(one);
    return one;
  }

  /** Ordinary traffic: a lookup for each seven streams. */
  async play(ms, gapMs) {
    const endsAt = performance.now() + ms;
    for (let at = 0; performance.now() < endsAt; at += 1) {
      this.send(at % 8 === 7 ? 'lookup' : 'stream');
      await kit.sleep(gapMs);
    }
  }

  /** Shares of the requests that were served, by when they were sent. */
  shares(from, to = Infinity) {
    const those = this.ends.filter(({sentAt}) => sentAt >= from && sentAt < to);
    const shareOf = ends =>
      ends.filter(({isServed}) => isServed).length / Math.max(ends.length, 1);
    const of = kind => shareOf(those.filter(one => one.kind === kind));
    return {
      count: those.length,
      all: shareOf(those),
      stream: of('stream'),
      lookup: of('lookup'),
    };
  }

  get held() {
    return this.group.ranks.flatMap(rank => rank.held ?? []);
  }
}

module.exports = {ModelSite, SHAPE};
