/**
 * What an entry does for the others: it grants shares of the pools for which it
 * ranks first, announces itself to entries that don't report, and passes reports
 * on that belong to another allocator.
 */
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {PeerRanking} from '../peers/peer-ranking';
import * as grouping from '../grouping';
import type {RpcClient} from '../rpc/client';
import type {RpcError} from '../rpc/types';
import type {AllocationRules} from './allocate';
import {CapacityAllocator, Reporter} from './allocator';
import * as app from './app';
import type {EntryContacts} from './entry-contacts';

/** Allows for a round trip and one lost packet. */
const ANNOUNCE_TIMEOUT_MS = 400;
/** Shorter than the time that the reporting entry waits. */
const RELAY_TIMEOUT_MS = 250;
const HEARTBEAT_INTERVAL_MS = 250;
/** After this time without a heartbeat, others may have become allocator. */
const HEARTBEAT_TIMEOUT_MS = 1_000;
/** Silent peers ahead in the order that are tried at a time. */
const MAX_SILENT_TRIED = 2;

export interface AllocatorContext extends AllocationRules {
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly peers: PeerRanking;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly contacts: EntryContacts;
  /**
   * Notes that a pool is short; returns how many requests this entry may have in
   * flight there, 0 without demand.
   */
  noteAnnounced(pool: string, now: number): number;
}

export class AllocatorRole {
  private readonly allocator: CapacityAllocator;
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private lastHeartbeatAt = -Infinity;
  private isClosed = false;

  constructor(private readonly context: AllocatorContext) {
    this.allocator = new CapacityAllocator(context);
  }

  /**
   * Answers a report: with a share of this allocator, or of the one that ranks
   * before it. The grant is null if that one doesn't answer.
   */
  async answer(reporter: Reporter, report: app.PoolReport, isRelayed: boolean) {
    const {peers} = this.context;
    const {pool} = report;
    const first = this.firstOf(pool);
    let grant: app.ShareGrant | undefined;
    if (first !== peers.ownAddress && !isRelayed) {
      grant = await this.relay(first, reporter, report);
    }
    const hasRelayed = grant !== undefined;
    if (hasRelayed) {
      this.stop(pool, first);
    } else if (this.firstOf(pool) === peers.ownAddress) {
      grant = this.grant(reporter, report);
    }
    return {
      ...peers.view(pool, app.VIEW_SIZE),
      grant: grant ?? null,
      isRelayed: hasRelayed,
    };
  }

  /** Grants a share of a pool for which this process ranks first. */
  grant(
    reporter: Reporter,
    report: app.PoolReport,
  ): app.ShareGrant | undefined {
    const now = performance.now();
    this.checkHeartbeat(now);
    const {pool} = report;
    const isNew = !this.allocator.isAllocating(pool);
    if (isNew && report.isLast) {
      return undefined;
    }
    const known = this.context.contacts.known(now);
    const wasShort = this.allocator.isShort(pool, now);
    const grant = this.allocator.report(reporter, report, known, now);
    if (isNew) {
      this.context.log.event('capacityHeld', {
        pool,
        capacity: report.capacity,
        peers: known.addresses.length - 1,
      });
      this.heartbeatTimer ??= this.scheduleHeartbeat();
    }
    if (!wasShort) {
      this.announce(now);
    }
    return grant;
  }

  /** The peer that ranks first; also calls silent ones ahead of it. */
  firstOf(pool: string): string {
    const {peers} = this.context;
    peers
      .takeDueRetries(pool, performance.now())
      .slice(0, MAX_SILENT_TRIED)
      .forEach(one => void this.ping(one));
    return peers.responsive(pool)[0]!;
  }

  /** Call after this instance was suspended: others may allocate by now. */
  handleResume(now: number): void {
    this.lastHeartbeatAt = now;
    this.allocator.restart();
  }

  /** `by` has announced itself as the allocator. */
  noteAllocator(pool: string, by: string): void {
    if (this.context.peers.responsive(pool)[0] === by) {
      this.stop(pool, by);
    }
  }

  /** A peer that rejects a call answers; it may be of an earlier version. */
  noteFailedCall(peer: string, error: RpcError): void {
    if (error.kind !== 'rejected') {
      this.context.peers.markUnresponsive(peer);
    }
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.heartbeatTimer);
  }

  private stop(pool: string, by: string): void {
    if (this.allocator.isAllocating(pool)) {
      this.allocator.stop(pool);
      this.context.log.event('capacityLeft', {pool, by});
    }
  }

  /** Undefined if the peer doesn't answer or is no allocator. */
  private async relay(
    peer: string,
    {entry, incarnation}: Reporter,
    report: app.PoolReport,
  ): Promise<app.ShareGrant | undefined> {
    const params = {
      from: entry,
      incarnation,
      isRelayed: true,
      reports: [report],
    };
    const answers = await this.callReport(peer, params);
    return answers?.[0]?.grant ?? undefined;
  }

  /** True if the peer answers. */
  private async ping(peer: string): Promise<boolean> {
    const {ownAddress} = this.context.peers;
    const params = {
      from: ownAddress,
      incarnation: '',
      isRelayed: false,
      reports: [],
    };
    return (await this.callReport(peer, params)) !== undefined;
  }

  private async callReport(peer: string, params: app.ReportParams) {
    const {rpc, peers, metrics, contacts} = this.context;
    metrics.count('capacity_calls_total', {method: app.report.name});
    const answer = await rpc.call(peer, app.report, params, RELAY_TIMEOUT_MS);
    if (!answer.ok) {
      this.noteFailedCall(peer, answer.error);
      return undefined;
    }
    peers.markResponsive(peer);
    contacts.noteContact();
    return answer.value.answers;
  }

  private scheduleHeartbeat(): NodeJS.Timeout {
    return setTimeout(() => this.heartbeat(), HEARTBEAT_INTERVAL_MS).unref();
  }

  private heartbeat(): void {
    const now = performance.now();
    this.checkHeartbeat(now);
    this.allocator.removeIdle(now);
    for (const pool of this.allocator.allocating) {
      const first = this.firstOf(pool);
      if (first !== this.context.peers.ownAddress) {
        void this.yieldTo(pool, first);
      }
    }
    this.announce(now);
    const isNeeded = !this.isClosed && this.allocator.allocating.length > 0;
    this.heartbeatTimer = isNeeded ? this.scheduleHeartbeat() : undefined;
  }

  /** Stops allocating once the peer that ranks first has answered. */
  private async yieldTo(pool: string, first: string): Promise<void> {
    if (await this.ping(first)) {
      this.stop(pool, first);
    }
  }

  /** Restarts if this process has not run for a while. */
  private checkHeartbeat(now: number): void {
    if (
      this.heartbeatTimer !== undefined &&
      now - this.lastHeartbeatAt > HEARTBEAT_TIMEOUT_MS
    ) {
      this.allocator.restart();
    }
    this.lastHeartbeatAt = now;
  }

  /** Announces this process to entries that don't report and are due. */
  private announce(now: number): void {
    const {peers, contacts} = this.context;
    const known = contacts.known(now);
    const due = this.allocator.allocating
      .filter(pool => this.allocator.isShort(pool, now))
      .flatMap(pool =>
        this.allocator
          .takeDueAnnouncements(pool, known, now)
          .map(entry => ({pool, entry})),
      );
    for (const [entry, items] of grouping.groupBy(due, one => one.entry)) {
      const pools = items.map(({pool}) => pool);
      if (entry === peers.ownAddress) {
        pools.forEach(pool => {
          const held = this.context.noteAnnounced(pool, now);
          this.allocator.noteHeld(pool, entry, held, now);
        });
      } else {
        void this.announceTo(entry, pools);
      }
    }
  }

  private async announceTo(
    entry: string,
    pools: readonly string[],
  ): Promise<void> {
    const {rpc, peers, metrics, contacts} = this.context;
    metrics.count('capacity_calls_total', {method: app.announce.name});
    const calledAt = performance.now();
    const answer = await rpc.call(
      entry,
      app.announce,
      {from: peers.ownAddress, pools: [...pools]},
      ANNOUNCE_TIMEOUT_MS,
    );
    const now = performance.now();
    if (!answer.ok) {
      this.noteFailedCall(entry, answer.error);
      // Refused at once: nothing listens there. A cut lets the time run out.
      const isGone =
        answer.error.kind === 'unreachable' &&
        !answer.error.sent &&
        now - calledAt < ANNOUNCE_TIMEOUT_MS / 2;
      pools.forEach(pool =>
        isGone
          ? this.allocator.noteGone(pool, entry, now)
          : this.allocator.noteUnreachable(pool, entry, now),
      );
      return;
    }
    peers.markResponsive(entry);
    contacts.noteContact();
    answer.value.answers.forEach(({order, silent, held}, at) => {
      // Only known from now on: whether they respond shows by calling them.
      peers.directory.add([...order, ...silent]);
      const pool = pools[at];
      if (pool !== undefined) {
        this.allocator.noteHeld(pool, entry, held, now);
      }
    });
  }
}
