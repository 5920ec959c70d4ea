/** What the sharing of capacity asks of this entry about its pools. */
import {PoolDemand, PoolSource} from '../capacity/types';
import {ConditionContext, hasAdmission} from './admission-condition';
import type {AdmissionController} from './admission-controller';
import type {GroupViews} from './group-views';
import type {TargetList} from './target-list';
import type * as types from './types';

/**
 * Requests that plain targets of a service get together, per slot: some must be
 * queued there to keep the slots busy during network transit.
 */
const REQUESTS_PER_SLOT = 1.25;
const SEPARATOR = ' ';

/** The pool of a group, or of all targets of a service without groups. */
export function poolOf(service: string, group: string | undefined): string {
  return group === undefined ? service : `${service}${SEPARATOR}${group}`;
}

export interface PoolsContext extends ConditionContext {
  readonly targets: TargetList;
  readonly views: Pick<GroupViews, 'capacityOf'>;
}

export class ForwarderPools extends PoolSource {
  constructor(
    private readonly context: PoolsContext,
    private readonly admission: Pick<
      AdmissionController<types.Target, types.Refusal>,
      'demandOf'
    >,
  ) {
    super();
  }

  demandOf(pool: string): PoolDemand {
    return this.admission.demandOf(pool, serviceOf(pool));
  }

  capacityOf(pool: string, now: number): number | undefined {
    const {configuration, targets, views} = this.context;
    const {table} = configuration;
    const name = serviceOf(pool);
    if (!hasAdmission(name, this.context)) {
      return undefined;
    }
    const usable = targets.ofService(name, now);
    const poolGroup = groupOf(pool, name);
    const first = usable.find(({group}) => group === poolGroup);
    if (first === undefined) {
      return undefined;
    }
    if (first.group === undefined) {
      const slots = usable
        .filter(({group}) => group === undefined)
        .reduce((sum, target) => sum + target.slots, 0);
      return Math.floor(slots * REQUESTS_PER_SLOT);
    }
    const engine = table?.findService(name)?.engine;
    const allowed = table?.strictestRoute(name);
    return engine === undefined || allowed === undefined
      ? undefined
      : Math.floor(views.capacityOf(first, engine, allowed, now).most);
  }
}

function serviceOf(pool: string): string {
  return pool.split(SEPARATOR, 1)[0]!;
}

/** Undefined: the pool has no group. */
function groupOf(pool: string, service: string): string | undefined {
  return pool === service
    ? undefined
    : pool.slice(service.length + SEPARATOR.length);
}
