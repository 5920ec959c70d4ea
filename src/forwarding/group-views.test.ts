import type {GroupView} from '../experts/types';
import {LastContact} from '../peers/last-contact';
import {ok} from '../result';
import type {EngineParameters} from '../routes/types';
import type {RpcClient} from '../rpc/client';
import {GroupViews} from './group-views';
import type {Target} from './types';

const RANKS = 24;
const ENTRIES = 14;
const ALLOWED = {pauseMs: 150, timeoutMs: 8_000};

const ENGINE: EngineParameters = {
  slots: 7,
  stepMs: 4.55,
  perSequenceMs: 1.557,
  perContextKMs: 0.0314,
  promptTokensPerSecond: 61_400,
  chunkTokens: 512,
  stride: 5,
  meanPromptTokens: 868,
  meanAnswerTokens: 97,
  experts: {
    sets: 16,
    experts: 96,
    places: 5,
    spare: 2,
    share: 0.85,
    copyMs: 76,
    formMs: 600,
  },
};

const ranks: Target[] = Array.from({length: RANKS}, (_, at) => ({
  id: `t${at}`,
  lifetime: `t${at}@1`,
  service: 's',
  address: `10.0.0.${at}:1`,
  hall: 'h',
  slots: 7,
  isLeaving: false,
  coldRemainingMs: 0,
  sequence: 1,
  revision: 1,
  group: 'g',
  rank: at,
}));

/** A client that returns one response per call, then never responds. */
function respondWith(responses: readonly object[]): RpcClient {
  const left = [...responses];
  const call = () => {
    const next = left.shift();
    return next === undefined
      ? new Promise(() => undefined)
      : Promise.resolve(ok(next));
  };
  return {call} as unknown as RpcClient;
}

async function viewsAfter(responses: readonly object[]): Promise<GroupViews> {
  const views = new GroupViews({
    rpc: respondWith(responses),
    reach: new LastContact(),
    hall: 'h',
    rpcPort: 1,
    ranks: () => ranks,
    usableRanks: () => ranks,
    knownEntryCount: () => ENTRIES,
    onGroupState: () => undefined,
    onPasses: () => undefined,
    // One request of this entry at each fourth rank.
    inFlight: lifetime =>
      ranks.findIndex(one => one.lifetime === lifetime) % 4 === 0 ? 1 : 0,
  });
  views.pollNewGroups();
  await new Promise(resolve => setTimeout(resolve, 120));
  return views;
}

const OPEN = {seen: {isOpen: true, ageMs: 0}};
const VIEW: GroupView = {
  requests: ranks.map(() => 3),
  imbalance: 1.2,
  slow: [],
};

describe('the capacity of a group', () => {
  it('follows from the view and from what this entry sent since', async () => {
    const views = await viewsAfter([{known: {view: VIEW, ageMs: 0}, ...OPEN}]);
    const capacity = views.capacityOf(
      ranks[0]!,
      ENGINE,
      ALLOWED,
      performance.now(),
    );
    expect(capacity).toMatchObject({requests: 72, imbalance: 1.2});
    expect(capacity.most).toBeGreaterThan(160);
    views.close();
  });

  // Guards against overloading the first group that opens after an outage.
  it('is limited if a group has just opened and there is no view', async () => {
    const views = await viewsAfter([{seen: {isOpen: false, ageMs: 0}}, OPEN]);
    const capacity = views.capacityOf(
      ranks[0]!,
      ENGINE,
      ALLOWED,
      performance.now(),
    );
    // Just started, it may not know all entries.
    expect(capacity.requests).toBe((RANKS / 4) * 16);
    expect(capacity.most).toBeLessThan(120);
    const later = performance.now() + 3_000;
    const settled = views.capacityOf(ranks[0]!, ENGINE, ALLOWED, later);
    expect(settled.most).toBeGreaterThan(150);
    const known = performance.now() + 10_000;
    expect(views.capacityOf(ranks[0]!, ENGINE, ALLOWED, known).requests).toBe(
      (RANKS / 4) * ENTRIES,
    );
    views.close();
  });
});
