/** Requests whose answer is read whole before it is passed on. */
import type {Call} from './call';
import {Relay, RelayedRequest} from './relay';

export class PlainRelay extends Relay {
  async relay(call: Call, request: RelayedRequest): Promise<void> {
    const tried = new Set<string>();
    for (;;) {
      const found = await this.findTarget(call, request, tried, call.isLater);
      if (!found.ok) {
        call.refuse(found.error);
        return;
      }
      const target = found.value;
      const outcome = await this.send(call, request, target);
      this.noteTried(tried, target, outcome);
      if (call.hasLeft) {
        call.end('caller-left');
        return;
      }
      if (!this.mayTryNext(call, request, target, outcome)) {
        this.finish(call, outcome);
        return;
      }
    }
  }
}
