/** The queues of an entry, by service. */
import type {AdmissionContext, Admittee, Blocked} from './admittee';
import {ServiceQueue} from './service-queue';

export interface ServiceState<V, R> {
  readonly service: string;
  hasObjective: boolean;
  readonly queue: ServiceQueue<Admittee<V, R>>;
  /** The last try that started nothing. */
  blocked: Blocked | undefined;
  /** Monotonic time of the last summary in the log. */
  summarizedAt: number;
}

export class ServiceStates<V, R> {
  private readonly states = new Map<string, ServiceState<V, R>>();

  constructor(
    private readonly context: Pick<
      AdmissionContext<V, R>,
      'floorShare' | 'hasObjective' | 'makeOrder'
    >,
  ) {}

  /**
   * The state of a service, made if there is none. Its order follows the
   * configuration once nothing waits.
   */
  of(service: string): ServiceState<V, R> {
    const hasObjective = this.context.hasObjective(service);
    let state = this.states.get(service);
    if (state === undefined) {
      const order = this.context.makeOrder(hasObjective);
      const queue = new ServiceQueue(order, this.context.floorShare);
      const summarizedAt = -Infinity;
      state = {service, hasObjective, queue, blocked: undefined, summarizedAt};
      this.states.set(service, state);
    } else if (state.hasObjective !== hasObjective && state.queue.size === 0) {
      state.hasObjective = hasObjective;
      state.queue.order = this.context.makeOrder(hasObjective);
    }
    return state;
  }

  get(service: string): ServiceState<V, R> | undefined {
    return this.states.get(service);
  }

  values(): Iterable<ServiceState<V, R>> {
    return this.states.values();
  }
}
