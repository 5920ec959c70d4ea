import * as http from 'node:http';
import type * as net from 'node:net';
import * as httpClient from '../http/client';
import {Metrics} from '../observability/metrics';
import {PrefixIndex} from '../routing/prefix-index';
import {RetryBudget} from '../routing/retry-budget';
import type {Target} from '../targets/directory';
import type {CallerRequest, EntryContext} from './entry-context';
import * as forwarding from './entry-forward';
import * as refusals from './refusals';

describe('forwarding to targets', () => {
  const agent = httpClient.makeAgent();
  const servers: http.Server[] = [];
  const received: string[] = [];

  afterEach(() => {
    servers.forEach(server => server.close());
    agent.destroy();
  });

  /** Opens a sidecar that refuses with `refusal`, or answers 200 without one. */
  async function openTarget(
    id: string,
    refusal?: refusals.Refusal,
  ): Promise<Target> {
    const server = http.createServer((_req, res) => {
      received.push(id);
      if (refusal === undefined) {
        res.end('whole');
      } else {
        refusals.sendRefusal(res, refusal, '');
      }
    });
    servers.push(server);
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as net.AddressInfo;
    const target: Partial<Target> = {
      id,
      address: `127.0.0.1:${port}`,
      hall: 'h',
      serves: {kind: 'service', name: 's'},
      inFlight: 0,
      loadAt: 0,
      sent: {
        note: () => undefined,
        since: () => ({requests: 0, tokens: 0}),
      } as unknown as Target['sent'],
      health: {
        stateAt: () => 'healthy',
        noteSuccess: () => false,
      } as unknown as Target['health'],
    };
    return target as Target;
  }

  /** An entry that tries the targets in the order of their ids. */
  function contextOf(share: number): EntryContext {
    const context = {
      hall: 'h',
      address: () => '127.0.0.1:1',
      budget: new RetryBudget(() => share),
      prefixes: new PrefixIndex(),
      metrics: new Metrics(),
      agent,
      log: {event: () => undefined},
      follower: {stampExchange: {ownStamp: () => ''}, catchUp: () => undefined},
      policy: {
        choose: (_: unknown, found: Array<{id: string}>) => ({
          chosen: found.map(({id}) => id).sort()[0],
          weighed: [],
        }),
      },
      targets: {
        filterAvailable: (all: readonly Target[]) => all,
        noteSent: () => undefined,
        noteAccepted: () => undefined,
        cooldownMs: () => 0,
      },
    };
    return context as unknown as EntryContext;
  }

  function callerOf(): CallerRequest {
    const caller = {
      req: {headers: {}},
      id: 'request-1',
      account: {id: 'a'},
      deadlineAt: Date.now() + 2_000,
      journalEntry: {attempts: []},
      signal: new AbortController().signal,
    };
    return caller as unknown as CallerRequest;
  }

  // Guards against a request refused for a sidecar that has just started.
  it('goes on to another target if one has no configuration yet', async () => {
    const detail = 'this sidecar has no configuration yet';
    const starting = refusals.notRun('no-target', detail, 1_000);
    const targets = [
      await openTarget('t-1', starting),
      await openTarget('t-2', starting),
      await openTarget('t-3'),
    ];
    const context = contextOf(0);
    // Such refusals cause no load, so that they don't use the budget.
    while (context.budget.tryDraw());
    const forwarded = await forwarding.forward(context, callerOf(), {
      method: 'GET',
      path: '/x',
      payload: undefined,
      routed: {account: 'a', prefix: '', promptTokens: 0, hall: 'h'},
      eligible: () => targets,
    });
    expect(received).toEqual(['t-1', 't-2', 't-3']);
    expect(forwarded.ok).toBe(true);
    if (forwarded.ok) {
      forwarded.value.res.resume();
      forwarded.value.done();
    }
  });
});
