import * as fc from 'fast-check';
import {HANDOVER_DELAY_MS, PermitIssuer, PERMIT_TTL_MS} from './permit-issuer';

const WINDOW_MS = 4_000;
const SECOND_MS = 1_000;

/** Sends heartbeats once per second. */
function heartbeatUntil(
  issuer: PermitIssuer,
  from: number,
  until: number,
): void {
  for (let at = from; at < until; at += SECOND_MS) {
    issuer.heartbeat(at);
  }
}

describe('permit issuer', () => {
  const limit = (perSecond: number | undefined, at = 0) => ({perSecond, at});

  it('starts with an empty bucket after the handover delay', () => {
    const issuer = new PermitIssuer();
    expect(issuer.grant('a', limit(2), 5, 0).permits).toBe(0);
    heartbeatUntil(issuer, 0, HANDOVER_DELAY_MS);
    expect(issuer.grant('a', limit(2), 5, HANDOVER_DELAY_MS).permits).toBe(0);
    expect(
      issuer.grant('a', limit(2), 5, HANDOVER_DELAY_MS + 500).permits,
    ).toBe(1);
    expect(
      issuer.grant('a', limit(2), 5, HANDOVER_DELAY_MS + 600).permits,
    ).toBe(0);
  });

  it('restarts after a suspension', () => {
    const issuer = new PermitIssuer();
    issuer.grant('a', limit(2), 0, 0);
    heartbeatUntil(issuer, 0, 4_000);
    expect(issuer.grant('a', limit(2), 1, 3_100).permits).toBe(1);
    expect(issuer.grant('a', limit(2), 5, 9_000).permits).toBe(0);
    expect(
      issuer.grant('a', limit(2), 5, 9_000 + HANDOVER_DELAY_MS).permits,
    ).toBe(0);
  });

  it('uses the latest observation of the limit, from any process', () => {
    const issuer = new PermitIssuer();
    issuer.grant('a', limit(2, 10), 0, 100);
    expect(issuer.grant('a', limit(1, 50), 0, 200).word).toEqual(limit(1, 50));
    expect(issuer.grant('a', limit(9, 40), 0, 300).word).toEqual(limit(1, 50));
    const ended = issuer.grant('a', limit(undefined, 60), 1, 400);
    expect(ended).toEqual({permits: 0, waitMs: 0, word: limit(undefined, 60)});
  });

  it('grants a minimum rate to a target with a limit of 0', () => {
    const issuer = new PermitIssuer();
    issuer.grant('a', limit(0), 1, 0);
    let permits = 0;
    for (let now = 0; now < 60_000; now += 500) {
      issuer.heartbeat(now);
      permits += issuer.grant('a', limit(0), 1, now).permits;
    }
    expect(permits).toBeGreaterThanOrEqual(2);
    expect(permits).toBeLessThanOrEqual(3);
  });

  it('removes idle targets and bounds their number', () => {
    const issuer = new PermitIssuer();
    for (let at = 0; at < 5_000; at += 1) {
      issuer.grant(`t-${at}`, limit(1), 1, 0);
    }
    expect(issuer.size).toBe(4_096);
    heartbeatUntil(issuer, 0, 40_000);
    expect(issuer.size).toBe(0);
  });

  it('stays under the limit in any window, for random requests', () => {
    const requestsArbitrary = fc.array(
      fc.record({
        afterMs: fc.integer({min: 0, max: 400}),
        wanted: fc.integer({min: 0, max: 20}),
      }),
      {minLength: 20, maxLength: 200},
    );
    const limits = fc.constantFrom(0.1, 0.5, 1, 2, 3, 10, 250);
    const check = (perSecond: number, all: Array<[number, number]>) => {
      const allowed = (1.5 * perSecond * WINDOW_MS) / SECOND_MS + 5;
      // A permit may be used until it expires.
      const spanMs = WINDOW_MS + PERMIT_TTL_MS;
      for (const [start] of all) {
        const inSpan = all.filter(([at]) => at >= start && at < start + spanMs);
        const sum = inSpan.reduce((total, [, permits]) => total + permits, 0);
        expect(sum).toBeLessThanOrEqual(allowed);
      }
    };
    fc.assert(
      fc.property(requestsArbitrary, limits, (requests, perSecond) => {
        const issuer = new PermitIssuer();
        const grants: Array<[number, number]> = [];
        let now = 0;
        for (const {afterMs, wanted} of requests) {
          now += afterMs;
          issuer.heartbeat(now);
          const {permits} = issuer.grant('a', limit(perSecond), wanted, now);
          grants.push([now, permits]);
        }
        check(perSecond, grants);
      }),
      {seed: 36, numRuns: 200},
    );
  });
});
