/** Plans for all groups whose targets an entry knows. */
import {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import type {Target} from '../forwarding/types';
import type {ObjectApi} from '../platform/client';
import type {ExpertFigures} from '../routes/types';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './app';
import {SidecarLink} from './links';
import {GroupPlanner} from './planner';
import {Candidate, Seat} from './seat';
import type {Engine} from './types';

/** What the service needs of its process. */
export interface ExpertsContext {
  readonly own: Candidate;
  /** Kind of object that holds the seats. */
  readonly seatKind: string;
  readonly rpcPort: number;
  readonly store: ObjectApi;
  readonly rpc: RpcClient;
  readonly log: Log;
  readonly metrics: Metrics;
  figuresOf(service: string): ExpertFigures | undefined;
  makeEngine(address: string): Engine;
}

interface Group {
  readonly seat: Seat;
  readonly planner: GroupPlanner;
  members: readonly Target[];
}

export class ExpertsService {
  private readonly groups = new Map<string, Group>();
  private readonly links = new Map<string, SidecarLink>();

  constructor(private readonly context: ExpertsContext) {}

  /** Answers other entries' questions. */
  serve(server: RpcServer): void {
    server.handle(app.ping, ({seat}) => {
      const term = this.groups.get(seat)?.seat.term ?? 0;
      return {holds: term !== 0, term};
    });
  }

  /** Takes the targets that are known now. */
  update(targets: readonly Target[]): void {
    const byGroup = new Map<string, Target[]>();
    for (const target of targets) {
      if (target.group !== undefined) {
        const key = `${this.context.seatKind}/${target.service}.${target.group}`;
        byGroup.set(key, [...(byGroup.get(key) ?? []), target]);
      }
    }
    for (const [key, members] of byGroup) {
      const group = this.groups.get(key) ?? this.addGroup(key, members);
      group.members = members;
    }
    const addresses = new Set(targets.map(target => target.address));
    for (const [address, link] of this.links) {
      if (!addresses.has(address)) {
        link.close();
        this.links.delete(address);
      }
    }
  }

  async close(): Promise<void> {
    const groups = [...this.groups.values()];
    groups.forEach(group => group.planner.close());
    await Promise.all(groups.map(group => group.seat.close()));
    this.links.forEach(link => link.close());
  }

  private addGroup(key: string, members: readonly Target[]): Group {
    const {context} = this;
    const {own, store, rpc, log, metrics} = context;
    const {service} = members[0]!;
    const seat = new Seat(key, own, store, rpc, log);
    const planner = new GroupPlanner(
      key,
      () => context.figuresOf(service),
      () => this.linksOf(key, seat),
      () => seat.term,
      () => seat.lose(),
      log,
      metrics,
    );
    const group: Group = {seat, planner, members};
    this.groups.set(key, group);
    planner.start();
    void seat.run();
    return group;
  }

  private linksOf(key: string, seat: Seat): SidecarLink[] {
    const members = this.groups.get(key)?.members ?? [];
    return members.map(target => this.linkTo(target, seat));
  }

  private linkTo(target: Target, seat: Seat): SidecarLink {
    let link = this.links.get(target.address);
    if (link === undefined) {
      const {rpc, rpcPort, makeEngine} = this.context;
      const [host] = target.address.split(':', 1);
      link = new SidecarLink(
        rpc,
        `${host}:${rpcPort}`,
        makeEngine(target.address),
        () => seat.term,
      );
      this.links.set(target.address, link);
    }
    return link;
  }
}
