/** Simulated callers and targets for tests of admission; time is the fake timers'. */
import {UnlimitedShares} from '../capacity/types';
import {AdmissionController} from '../forwarding/admission-controller';
import {Metrics} from '../observability/metrics';
import type {Admittee, Blocked, RefusalDetails, Started} from './admittee';
import {FairDeadlineOrder} from './fair-deadline-order';
import {waitingRequest} from './request-kit';
import type {WaitingRequest} from './types';

export const OBJECTIVE_MS = 250;
const FLOOR_SHARE = 0.1;

export const STARTED: Started<string> = {
  kind: 'started',
  value: 't',
  pool: 's',
};
export const BLOCKED: Blocked = {
  kind: 'blocked',
  why: 'capacity',
  isOwn: false,
  waitsUntil: Infinity,
  passMs: undefined,
  pools: ['s'],
};

/** Two targets of four slots that queue two more requests each. */
export class Targets {
  slots = 8;
  placesPerSlot = 1.5;
  private readonly freeAt: number[] = [];

  /** Maximum requests in flight. */
  get places(): number {
    return this.slots * this.placesPerSlot;
  }

  /** Milliseconds until a request that is sent now is answered. */
  send(durationMs: number): number {
    const now = performance.now();
    this.freeAt.sort((a, b) => a - b);
    const isQueued = this.freeAt.length >= this.slots;
    const free = isQueued ? Math.max(this.freeAt.shift()!, now) : now;
    this.freeAt.push(free + durationMs);
    return free + durationMs - now;
  }
}

export interface Load {
  /** Requests per second, also as a function of the time since the start. */
  readonly perSecond: number | ((elapsedMs: number) => number);
  readonly changes?: Partial<WaitingRequest>;
}

export interface Response {
  readonly kind: 'served' | 'refused';
  readonly request: WaitingRequest;
  /** Since its arrival. */
  readonly ms: number;
  readonly details?: RefusalDetails;
}

export class LoadSimulation {
  readonly targets = new Targets();
  readonly responses: Response[] = [];
  /** Duration of a request on a slot. */
  serviceMs = 50;
  /** Interval at which a busy process reads what has arrived; 1: idle. */
  readMs = 1;
  /** How long a caller waits for its answer. */
  timeoutMs = 1_500;
  /** What a refused caller does. */
  onRefusal: (response: Response) => void = () => undefined;
  readonly controller = new AdmissionController<
    string,
    RefusalDetails | undefined
  >({
    shares: new UnlimitedShares(),
    floorShare: FLOOR_SHARE,
    hasObjective: () => true,
    makeOrder: () => new FairDeadlineOrder(FLOOR_SHARE),
    log: {event: () => undefined},
    metrics: new Metrics(),
  });

  /** Sends a request through admission to the targets. */
  async send(changes: Partial<WaitingRequest> = {}): Promise<void> {
    const item = this.itemOf(changes);
    const admitted = await this.controller.admit(item);
    if (!admitted.ok) {
      const response = this.responseOf('refused', item, admitted.error);
      this.onRefusal(response);
      return;
    }
    const answeredMs = performance.now() + this.targets.send(this.serviceMs);
    const readAt = Math.ceil(answeredMs / this.readMs) * this.readMs;
    const workMs = readAt - performance.now();
    await new Promise(resolve => setTimeout(resolve, workMs));
    admitted.value.ticket.release(true);
    this.responseOf('served', item);
  }

  async run(loads: readonly Load[], durationMs: number): Promise<void> {
    const startedAt = performance.now();
    const arrivals = loads.map(load => ({load, dueAt: startedAt}));
    while (performance.now() < startedAt + durationMs) {
      for (;;) {
        const [next] = arrivals.sort((a, b) => a.dueAt - b.dueAt);
        if (next === undefined || next.dueAt > performance.now()) {
          break;
        }
        const {perSecond, changes} = next.load;
        next.dueAt += 1_000 / rateOf(perSecond, next.dueAt - startedAt);
        void this.send(changes);
      }
      await jest.advanceTimersByTimeAsync(this.readMs);
    }
  }

  /** Responses to requests that arrived from then on and match. */
  responsesSince(
    since: number,
    matches: (request: WaitingRequest) => boolean = () => true,
  ): Response[] {
    return this.responses.filter(
      ({request}) => request.arrivedAt >= since && matches(request),
    );
  }

  private itemOf(
    changes: Partial<WaitingRequest>,
  ): Admittee<string, RefusalDetails | undefined> {
    const now = performance.now();
    return {
      ...waitingRequest({
        arrivedAt: now,
        objectiveAt: now + OBJECTIVE_MS,
        deadlineAt: now + this.timeoutMs,
      }),
      rank: changes.priority ?? 1,
      service: 's',
      bodyBytes: 100,
      signal: new AbortController().signal,
      unanswered: undefined,
      tryStart: () =>
        this.controller.inFlight('s') < this.targets.places ? STARTED : BLOCKED,
      refuse: details => details,
      ...changes,
    };
  }

  private responseOf(
    kind: Response['kind'],
    request: WaitingRequest,
    details?: RefusalDetails,
  ): Response {
    const ms = performance.now() - request.arrivedAt;
    const response = {kind, request, ms, details};
    this.responses.push(response);
    return response;
  }
}

function rateOf(perSecond: Load['perSecond'], elapsedMs: number): number {
  return typeof perSecond === 'number' ? perSecond : perSecond(elapsedMs);
}

export function isTimely({kind, ms}: Response): boolean {
  return kind === 'served' && ms <= OBJECTIVE_MS;
}

export function shareOf(
  responses: readonly Response[],
  matches: (response: Response) => boolean,
): number {
  return responses.filter(matches).length / responses.length;
}
