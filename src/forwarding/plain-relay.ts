/** Relays requests whose response is read whole before it is passed on. */
import type {Call} from './call';
import type * as exchanges from './exchange';
import type {TriedTargets} from './outcomes';
import {Relay} from './relay';
import type {RelayedRequest} from './relayed-request';

export class PlainRelay extends Relay {
  async relay(call: Call, request: RelayedRequest): Promise<void> {
    const tried: TriedTargets = new Map();
    let last: exchanges.Outcome | undefined;
    for (;;) {
      const found = await this.findTarget(
        call,
        request,
        tried,
        call.isLikelyRetry,
      );
      if (!found.ok) {
        this.refuseUnsent(call, found.error, last);
        return;
      }
      const target = found.value;
      const outcome = await this.send(call, request, target);
      this.noteTried(tried, target, outcome);
      last = outcome;
      if (call.isCallerGone) {
        call.end('caller-left');
        return;
      }
      if (!(await this.mayRetry(call, request, target, outcome))) {
        this.finish(call, request, target, outcome);
        return;
      }
    }
  }
}
