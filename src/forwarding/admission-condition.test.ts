import {CurrentConfiguration} from '../routes/current';
import type {Route} from '../routes/types';
import {hasAdmission} from './admission-condition';

interface RouteOfTest {
  readonly latencyObjectiveMs: number;
  readonly priority: number;
}

/** Whether a service with these routes has admission. */
function check(isEnabled: boolean, routes: readonly RouteOfTest[]): boolean {
  const configuration = new CurrentConfiguration();
  configuration.offer({
    version: 1,
    routes: routes.map(
      (one, at) =>
        ({
          ...one,
          host: `h${at}`,
          services: [{service: 's', weight: 1}],
        }) as unknown as Route,
    ),
    services: [],
    accounts: undefined,
    limits: {} as never,
  });
  return hasAdmission('s', {cfg: {admission: {isEnabled}}, configuration});
}

describe('admission of a service', () => {
  const stream = {latencyObjectiveMs: 500, priority: 1};
  const urgent = {latencyObjectiveMs: 500, priority: 0};
  const idle = {latencyObjectiveMs: 0, priority: 7};

  it('is enabled by different priorities of routes with an objective', () => {
    expect(check(false, [stream, urgent])).toBe(true);
  });

  // Guards against queues and their processor time at sites that don't need them.
  it('is not enabled by routes without an objective', () => {
    expect(check(false, [stream, stream, idle])).toBe(false);
    expect(check(false, [idle, {...idle, priority: 1}])).toBe(false);
    expect(check(true, [idle])).toBe(false);
  });

  it('is enabled by the settings for services with an objective', () => {
    expect(check(true, [stream, idle])).toBe(true);
  });

  it('is not enabled before the configuration is known', () => {
    const configuration = new CurrentConfiguration();
    const cfg = {admission: {isEnabled: true}};
    expect(hasAdmission('s', {cfg, configuration})).toBe(false);
  });
});
