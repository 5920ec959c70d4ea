/** Routing policies: the scored one, and simple ones for comparison. */
import * as random from '../random';
import * as rendezvous from './rendezvous';
import * as scoring from './score';
import * as types from './types';

/** Candidates that rendezvous hashing assigns to the prompt prefix. */
const HOME_CANDIDATES = 2;
/** Additional candidates, drawn at random. */
const RANDOM_CANDIDATES = 2;
/** Additional candidates that are estimated to have the prefix cached. */
const CACHED_CANDIDATES = 2;

/**
 * Scores the prefix's rendezvous targets, those estimated to have it cached and
 * a random sample, and chooses the lowest score.
 */
export class ScoredPolicy extends types.Policy {
  constructor(private readonly settings: () => scoring.ScoreSettings) {
    super();
  }

  choose(
    request: types.RoutedRequest,
    candidates: readonly types.Candidate[],
  ): types.Decision {
    const weighed = pickCandidates(request, candidates).map(candidate =>
      scoring.score(request, candidate, this.settings()),
    );
    weighed.sort((a, b) => a.score - b.score);
    return {chosen: weighed[0]!.id, weighed};
  }
}

function pickCandidates(
  request: types.RoutedRequest,
  candidates: readonly types.Candidate[],
): types.Candidate[] {
  if (candidates.length <= HOME_CANDIDATES + RANDOM_CANDIDATES) {
    return [...candidates];
  }
  const picked = new Set(
    rendezvous.topByKey(
      `${request.account}/${request.prefix}`,
      candidates,
      candidate => candidate.id,
      HOME_CANDIDATES,
    ),
  );
  const holders = candidates.filter(candidate => candidate.cachedTokens > 0);
  holders.sort((a, b) => b.cachedTokens - a.cachedTokens);
  holders.slice(0, CACHED_CANDIDATES).forEach(holder => picked.add(holder));
  for (let drawn = 0; drawn < RANDOM_CANDIDATES; drawn += 1) {
    picked.add(random.pick(candidates));
  }
  return [...picked];
}

/** A uniformly random target. */
export class RandomPolicy extends types.Policy {
  choose(
    _request: types.RoutedRequest,
    candidates: readonly types.Candidate[],
  ): types.Decision {
    return {chosen: random.pick(candidates).id, weighed: []};
  }
}

/** Each target in turn. */
export class RoundRobinPolicy extends types.Policy {
  private turn = 0;

  choose(
    _request: types.RoutedRequest,
    candidates: readonly types.Candidate[],
  ): types.Decision {
    this.turn += 1;
    const chosen = candidates[this.turn % candidates.length]!;
    return {chosen: chosen.id, weighed: []};
  }
}

/** The target with the pickedest requests in flight from this entry. */
export class LeastOutstandingPolicy extends types.Policy {
  choose(
    _request: types.RoutedRequest,
    candidates: readonly types.Candidate[],
  ): types.Decision {
    const least = candidates.reduce((best, candidate) =>
      candidate.inFlight < best.inFlight ? candidate : best,
    );
    return {chosen: least.id, weighed: []};
  }
}

/** The less loaded of two drawn at random. */
export class TwoChoicesPolicy extends types.Policy {
  choose(
    _request: types.RoutedRequest,
    candidates: readonly types.Candidate[],
  ): types.Decision {
    const [a, b] = [random.pick(candidates), random.pick(candidates)];
    const chosen = outstanding(a) <= outstanding(b) ? a : b;
    return {chosen: chosen.id, weighed: []};
  }
}

function outstanding(candidate: types.Candidate): number {
  return candidate.load.running + candidate.load.queued + candidate.unreported;
}
