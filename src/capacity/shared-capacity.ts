/**
 * Shares the capacity of pools among the entries of a site. For each pool one
 * entry allocates: the first responsive peer in rendezvous order. While a pool may
 * be short, the entries that use it report their demand to the allocator; while it
 * is short, they may have as many requests in flight as it grants. No calls are
 * made while no pool may be short or without peers.
 */
import {Subject} from 'rxjs';
import * as grouping from '../grouping';
import * as bounded from '../bounded';
import * as random from '../random';
import type {RpcServer} from '../rpc/server';
import {AllocatorRole} from './allocator-role';
import type {Reporter} from './allocator';
import * as app from './app';
import type {SharedCapacityContext} from './context';
import * as demandLines from './demand-lines';
import {EntryContacts} from './entry-contacts';
import * as leases from './lease';
import {PoolLease, PoolUse} from './lease';
import {CurrentUse} from './pool-use';
import * as timing from './timing';
import {CapacityShares} from './types';

/** Allows for a round trip and one lost packet. */
const RPC_TIMEOUT_MS = 400;
const LOG_INTERVAL_MS = 1_000;
/** The capacity of a group sums over its ranks, and each start asks for it. */
const CAPACITY_TTL_MS = 20;
/** Relative change of a share that is logged. */
const MIN_LOGGED_CHANGE = 0.1;
const INCARNATIONS = 2 ** 31;

/** A pool as this entry uses it. */
interface OwnPool {
  readonly lease: PoolLease;
  /** Last limit seen; undefined: none. */
  limit: number | undefined;
  loggedShare: number;
  loggedAt: number;
}

interface DueReport {
  readonly own: OwnPool;
  readonly report: app.PoolReport;
}

const UNUSED_LEASE = new PoolLease();

export class SharedCapacity extends CapacityShares {
  /** Emits a pool when this entry's share of it has risen. */
  readonly changes = new Subject<string>();
  private readonly pools = new Map<string, OwnPool>();
  /** Capacities that were computed last, and when. */
  private readonly capacities = new Map<
    string,
    {readonly capacity: number | undefined; readonly at: number}
  >();
  private readonly contacts: EntryContacts;
  private readonly role: AllocatorRole;
  private readonly self: Reporter;
  private timer: NodeJS.Timeout | undefined;
  /** Monotonic time at which the timer fires. */
  private timerAt = Infinity;
  /** Of the last report about any pool. */
  private sequence = 0;
  private isClosed = false;

  constructor(private readonly context: SharedCapacityContext) {
    super();
    const {peers} = context;
    this.contacts = new EntryContacts(peers, () => context.knownEntryCount());
    this.self = {
      entry: peers.ownAddress,
      incarnation: random.integerBelow(INCARNATIONS).toString(36),
    };
    this.role = new AllocatorRole({
      rpc: context.rpc,
      peers,
      log: context.log,
      metrics: context.metrics,
      contacts: this.contacts,
      weightOf: account => context.weightOf(account),
      floorShare: context.floorShare,
      noteAnnounced: (pool, now) => this.noteAnnounced(pool, now),
    });
  }

  /** Answers other entries on `server`. */
  open(server: Pick<RpcServer, 'handle'>): void {
    const {peers} = this.context;
    server.handle(app.report, async params => {
      const {from, incarnation, isRelayed, reports} = params;
      if (!isRelayed) {
        this.noteContact(from);
      }
      const answers = reports.map(report =>
        this.role.answer({entry: from, incarnation}, report, isRelayed),
      );
      return {answers: await Promise.all(answers)};
    });
    server.handle(app.announce, ({from, pools}) => {
      this.noteContact(from);
      const now = performance.now();
      const answers = pools.map(pool => {
        this.role.noteAllocator(pool, from);
        const held = this.noteAnnounced(pool, now);
        return {...peers.view(pool, app.VIEW_SIZE), held};
      });
      return {answers};
    });
  }

  shareOf(pool: string, now: number, since = -Infinity): number | undefined {
    const own = this.pools.get(pool);
    if (own !== undefined && own.lease.grantedOn < since) {
      return undefined;
    }
    // Without a suspicion nothing limits this entry, and each request asks.
    const use = own && this.useOf(pool, now);
    return use && own?.lease.limit(use, now);
  }

  noteUse(pool: string, now: number, isFull = false): void {
    const use = this.useOf(pool, now);
    const lease = this.pools.get(pool)?.lease ?? UNUSED_LEASE;
    if (use === undefined || !lease.isSuspected(use, now)) {
      return;
    }
    const own = this.ownPool(pool);
    if (isFull) {
      own.lease.noteFull(now);
    }
    this.schedule(own.lease, use, now);
  }

  /** The share in force and the capacity computed last; changes neither. */
  lastStateOf(pool: string) {
    return {share: this.pools.get(pool)?.limit, ...this.capacities.get(pool)};
  }

  /** Call after this instance was suspended: its shares have been given away. */
  handleResume(): void {
    const now = performance.now();
    this.pools.forEach(({lease}) => lease.invalidate(now));
    this.role.handleResume(now);
    this.sendReports();
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    this.role.close();
    this.changes.complete();
  }

  private noteContact(peer: string): void {
    this.context.peers.markResponsive(peer);
    this.contacts.noteContact();
  }

  /** Undefined if the pool has no limit. */
  private useOf(pool: string, now: number): PoolUse | undefined {
    const {source} = this.context;
    const capacity = this.capacityOf(pool, now) ?? Infinity;
    return Number.isFinite(capacity)
      ? new CurrentUse(pool, capacity, source, this.contacts, now)
      : undefined;
  }

  private capacityOf(pool: string, now: number): number | undefined {
    const cached = this.capacities.get(pool);
    if (cached !== undefined && now - cached.at < CAPACITY_TTL_MS) {
      return cached.capacity;
    }
    const capacity = this.context.source.capacityOf(pool, now);
    this.capacities.set(pool, {capacity, at: now});
    bounded.dropOldest(this.capacities, timing.MAX_POOLS);
    return capacity;
  }

  private ownPool(pool: string): OwnPool {
    let own = this.pools.get(pool);
    if (own === undefined) {
      own = {
        lease: new PoolLease(),
        limit: undefined,
        loggedShare: 0,
        loggedAt: -Infinity,
      };
      this.pools.set(pool, own);
      bounded.dropOldest(this.pools, timing.MAX_POOLS);
    }
    return own;
  }

  /** Returns how many requests this entry may have in flight; 0 without demand. */
  private noteAnnounced(pool: string, now: number): number {
    const use = this.useOf(pool, now);
    if (use === undefined) {
      return 0;
    }
    const {lease} = this.ownPool(pool);
    lease.noteAnnounced(now);
    if (!leases.hasDemand(use)) {
      return 0;
    }
    this.schedule(lease, use, now);
    return Math.max(lease.limit(use, now) ?? 0, leases.inFlightOf(use));
  }

  private schedule(lease: PoolLease, use: PoolUse, now: number): void {
    const reportAt = lease.nextReportAt(use);
    if (this.isClosed || lease.isReporting || reportAt >= this.timerAt) {
      return;
    }
    clearTimeout(this.timer);
    this.timerAt = reportAt;
    const onTimer = () => {
      this.timerAt = Infinity;
      this.sendReports();
    };
    const waitMs = Math.max(Math.ceil(reportAt - now), 0);
    this.timer = setTimeout(onTimer, waitMs).unref();
  }

  /** Sends the reports that are due to the allocators of their pools. */
  private sendReports(): void {
    const now = performance.now();
    const due: DueReport[] = [];
    for (const [pool, own] of this.pools) {
      const report = this.takeReport(pool, own, now);
      if (report !== undefined) {
        due.push({own, report});
      }
    }
    const byAllocator = grouping.groupBy(due, ({report}) =>
      this.role.firstOf(report.pool),
    );
    for (const [allocator, batch] of byAllocator) {
      if (allocator === this.self.entry) {
        batch.forEach(({own, report}) => {
          const grant = this.role.grant(this.self, report);
          this.settle(own, report, grant, now);
        });
      } else {
        void this.reportToPeer(allocator, batch);
      }
    }
    this.scheduleNext();
  }

  private scheduleNext(): void {
    const now = performance.now();
    for (const [pool, {lease}] of this.pools) {
      const use = this.useOf(pool, now);
      if (
        use !== undefined &&
        (lease.isKnown || lease.shouldReport(use, now))
      ) {
        this.schedule(lease, use, now);
      }
    }
  }

  /** Undefined if no report is due. */
  private takeReport(
    pool: string,
    own: OwnPool,
    now: number,
  ): app.PoolReport | undefined {
    const {lease} = own;
    const use = this.useOf(pool, now);
    // Reads the lines, before a limit that has risen starts requests.
    const isLast = use === undefined || !lease.shouldReport(use, now);
    this.updateLimit(pool, own, now);
    if (lease.isReporting || (isLast && !lease.isKnown)) {
      if (isLast && (use === undefined || !lease.isSuspected(use, now))) {
        this.pools.delete(pool);
      }
      return undefined;
    }
    if (!isLast && lease.nextReportAt(use) > now) {
      return undefined;
    }
    const sent = use ?? {capacity: 0, entries: 1, parts: 1, lines: []};
    const held = lease.limit(sent, now) ?? leases.inFlightOf(sent);
    lease.startReport(sent, isLast, now);
    this.sequence += 1;
    return {
      pool,
      sequence: this.sequence,
      capacity: sent.capacity,
      held,
      lines: demandLines.compact(sent.lines),
      isLast,
    };
  }

  private async reportToPeer(
    peer: string,
    batch: readonly DueReport[],
  ): Promise<void> {
    const {rpc, peers, metrics} = this.context;
    metrics.count('capacity_calls_total', {method: app.report.name});
    const sentAt = performance.now();
    const params = {
      from: this.self.entry,
      incarnation: this.self.incarnation,
      isRelayed: false,
      reports: batch.map(({report}) => report),
    };
    const answer = await rpc.call(peer, app.report, params, RPC_TIMEOUT_MS);
    if (this.isClosed) {
      return;
    }
    if (answer.ok) {
      this.noteContact(peer);
      batch.forEach(({own, report}, at) => {
        const {order = [], silent = [], grant} = answer.value.answers[at] ?? {};
        // Only known from now on: whether they respond shows by calling them.
        peers.directory.add([...order, ...silent]);
        this.settle(own, report, grant ?? undefined, sentAt);
      });
    } else {
      this.role.noteFailedCall(peer, answer.error);
      batch.forEach(({own: {lease}}) => {
        lease.isReporting = false;
        lease.noteUnanswered();
      });
    }
    this.scheduleNext();
  }

  private settle(
    own: OwnPool,
    {pool, isLast}: app.PoolReport,
    grant: app.ShareGrant | undefined,
    sentAt: number,
  ): void {
    const {lease} = own;
    lease.isReporting = false;
    if (isLast) {
      return;
    }
    if (grant === undefined) {
      lease.noteRedirected();
    } else {
      lease.applyGrant(grant, sentAt);
    }
    this.updateLimit(pool, own, performance.now());
  }

  /** Notes a changed limit and notifies of one that has risen. */
  private updateLimit(pool: string, own: OwnPool, now: number): void {
    const use = this.useOf(pool, now);
    const limit = use && own.lease.limit(use, now);
    const before = own.limit ?? Infinity;
    own.limit = limit;
    if (use !== undefined && limit !== undefined) {
      this.record(pool, own, use, limit, now);
    }
    if ((limit ?? Infinity) > before) {
      this.changes.next(pool);
    }
  }

  private record(
    pool: string,
    own: OwnPool,
    use: PoolUse,
    share: number,
    now: number,
  ): void {
    const {log, metrics} = this.context;
    const inFlight = leases.inFlightOf(use);
    const waiting = leases.waitingOf(use);
    metrics.set('capacity_share', {pool}, share);
    metrics.set('capacity_in_flight', {pool}, inFlight);
    metrics.set('capacity_waiting', {pool}, waiting);
    const change = Math.abs(share - own.loggedShare);
    const isLarge = change >= Math.max(1, own.loggedShare * MIN_LOGGED_CHANGE);
    if (isLarge && now - own.loggedAt >= LOG_INTERVAL_MS) {
      own.loggedShare = share;
      own.loggedAt = now;
      const {capacity} = use;
      log.event('shareChanged', {pool, share, capacity, inFlight, waiting});
    }
  }
}
