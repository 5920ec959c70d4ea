/**
 * Makes the page `/queues` from what this entry has in memory. Reads only:
 * capacities are those computed last, since computing one has effects.
 */
import type {Admittee} from '../admission/admittee';
import * as queueLines from '../admission/queue-lines';
import type {ServiceState} from '../admission/service-states';
import type {SharedCapacity} from '../capacity/shared-capacity';
import * as queuesPage from '../observability/queues-page';
import type {SiteSettings} from '../roles/site-settings';
import * as pools from './pools';
import type {TargetFinder} from './target-finder';
import type {TargetList} from './target-list';
import type * as types from './types';

type State = ServiceState<types.Target, types.Refusal>;
type WaitingCall = Admittee<types.Target, types.Refusal>;

export interface QueuesReporterContext {
  readonly cfg: Pick<SiteSettings, 'id' | 'admission'>;
  readonly targets: Pick<TargetList, 'all'>;
  readonly finder: Pick<TargetFinder, 'admission' | 'refusals'>;
  readonly shares: Pick<SharedCapacity, 'lastStateOf'>;
}

export class QueuesReporter {
  constructor(private readonly context: QueuesReporterContext) {}

  /** The page as JSON. */
  format(now: number): string {
    const states = this.statesByLoad();
    const waiting = states.flatMap(state => itemsOf(state));
    const accounts = queueLines.accountsOf(waiting);
    return queuesPage.formatWithinBound(
      bounds => this.makePage(states, accounts, bounds, now),
      states.length,
    );
  }

  private makePage(
    states: readonly State[],
    accounts: readonly string[],
    bounds: queuesPage.PageBounds,
    now: number,
  ): queuesPage.QueuesPage {
    const {id, admission} = this.context.cfg;
    const listed = new Set(accounts.slice(0, bounds.accounts));
    const weights = [...admission.weights].sort(
      ([a], [b]) => Number(listed.has(b)) - Number(listed.has(a)),
    );
    const shown = weights.slice(0, bounds.accounts);
    return {
      entry: id,
      services: states
        .slice(0, bounds.services)
        .map(state => this.reportOf(state, listed, now)),
      omittedServices: Math.max(states.length - bounds.services, 0),
      weights: Object.fromEntries(shown),
      omittedWeights: weights.length - shown.length,
      floorShare: admission.floorShare,
    };
  }

  /** Services with the most waiting requests first. */
  private statesByLoad(): State[] {
    return [...this.context.finder.admission.services.values()].sort(
      (a, b) => b.queue.size - a.queue.size,
    );
  }

  private reportOf(
    state: State,
    listed: ReadonlySet<string>,
    now: number,
  ): queuesPage.ServiceReport {
    const {service, queue} = state;
    const {finder} = this.context;
    return {
      service,
      waiting: queue.size,
      lines: queueLines.linesOf(itemsOf(state), listed, now),
      starts: queue.startsByRank(now),
      refusals: finder.refusals.recent.of(service, now),
      pools: this.poolsOf(service),
    };
  }

  private poolsOf(service: string): queuesPage.ServiceReport['pools'] {
    const {targets, finder, shares} = this.context;
    const names = new Set(
      targets
        .all()
        .filter(target => target.service === service)
        .map(({group}) => pools.poolOf(service, group)),
    );
    return [...names].map(pool => {
      const {share = null, capacity = null} = shares.lastStateOf(pool);
      const inFlight = finder.admission.inFlight(pool);
      return {pool, share, inFlight, capacity};
    });
  }
}

function itemsOf({queue}: State): WaitingCall[] {
  return queue.order.items();
}
