/** Requests whose answer is read whole before it is passed on. */
import * as exchanges from './exchange';
import type {Call} from './call';
import {Relay, RelayedRequest} from './relay';
import type {Target} from './types';
import {isRepeatable} from './types';

const FIRST_SERVER_ERROR = 500;

export class PlainRelay extends Relay {
  async relay(call: Call, request: RelayedRequest): Promise<void> {
    const tried = new Set<string>();
    for (;;) {
      const target = this.choose(request, tried);
      if (target === undefined) {
        call.refuse(this.noTarget(request.service));
        return;
      }
      tried.add(target.id);
      const outcome = await this.send(call, request, target);
      if (call.hasLeft) {
        call.end('caller-left');
        return;
      }
      if (!this.mayGoOn(call, request, target, outcome)) {
        this.finish(call, outcome);
        return;
      }
    }
  }

  private mayGoOn(
    call: Call,
    request: RelayedRequest,
    target: Target,
    outcome: exchanges.Outcome,
  ): boolean {
    switch (outcome.kind) {
      case 'answered':
        return (
          outcome.head.status >= FIRST_SERVER_ERROR &&
          isRepeatable(request.route) &&
          this.maySendAgain(call, request, target)
        );
      case 'unknown':
        return (
          isRepeatable(request.route) &&
          this.maySendAgain(call, request, target)
        );
      case 'not-run':
        return this.maySendAgain(call, request, target);
      case 'streaming':
      case 'timed-out':
      case 'cancelled':
        return false;
    }
  }

  private finish(call: Call, outcome: exchanges.Outcome): void {
    if (outcome.kind === 'answered') {
      call.pass(outcome.head, outcome.body);
    } else {
      this.refuse(call, outcome);
    }
  }
}
