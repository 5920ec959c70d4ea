import {CurrentConfiguration} from '../routes/current';
import type {Route} from '../routes/types';
import type {AllowedTimes} from './group-request-limit';
import type {GroupCapacity} from './group-views';
import {ForwarderPools} from './pools';
import {TargetList} from './target-list';
import type * as types from './types';

describe('the pools of an entry', () => {
  const targets = new TargetList();
  const configuration = new CurrentConfiguration();
  const views = {
    capacityOf: (_rank: unknown, _engine: unknown, allowed: AllowedTimes) =>
      ({most: allowed.pauseMs / 4}) as GroupCapacity,
  };
  const admission = {demandOf: () => []};
  const cfg = {admission: {isEnabled: true}};
  const pools = new ForwarderPools(
    {cfg, configuration, targets, views},
    admission,
  );

  const target = (id: string, service: string, group?: string) =>
    ({
      id,
      lifetime: id,
      service,
      address: id,
      slots: 6,
      coldRemainingMs: 0,
      isLeaving: false,
      revision: 1,
      group,
    }) as types.Target;

  const route = (service: string, pauseMs: number) =>
    ({
      host: `${service}-${pauseMs}`,
      services: [{service, weight: 1}],
      latencyObjectiveMs: 500,
      priority: 1,
      pauseMs,
    }) as unknown as Route;

  // Guards against shares of capacity that targets in a cooldown don't have.
  it('have the capacity of the usable targets, or of their group', () => {
    configuration.offer({
      version: 1,
      routes: [
        ...[0, 170, 150].map(pauseMs => route('model', pauseMs)),
        route('plain', 0),
      ],
      services: [
        {name: 'model', engine: {}} as never,
        {name: 'plain'} as never,
      ],
      accounts: undefined,
      limits: {} as never,
    });
    const plain = ['a', 'b', 'c'].map(id => target(id, 'plain'));
    [...plain, target('d', 'model', 'g')].forEach(one => targets.add(one));
    expect(pools.capacityOf('plain', 0)).toBe(22);
    targets.startCooldown(plain[0]!, 1_000, 0);
    expect(pools.capacityOf('plain', 0)).toBe(15);
    expect(pools.capacityOf('model g', 0)).toBe(37);
    expect(pools.capacityOf('model other', 0)).toBe(undefined);
    cfg.admission.isEnabled = false;
    expect(pools.capacityOf('model g', 0)).toBe(undefined);
  });
});
