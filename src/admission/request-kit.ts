/** Requests for tests of the admission decisions. */
import type {WaitingRequest} from './types';

export function waitingRequest(
  changes: Partial<WaitingRequest> = {},
): WaitingRequest {
  return {
    account: 'a',
    weight: 1,
    priority: 1,
    rank: changes.priority ?? 1,
    cost: 1,
    arrivedAt: 0,
    objectiveAt: 250,
    deadlineAt: 1_500,
    isRetry: false,
    isStarted: false,
    firstUnits: 1,
    wholeUnits: 1,
    needsPermit: false,
    ...changes,
  };
}
