/**
 * Requests recently sent to a target. Those sent after a load report was made are
 * added to the reported load.
 */
const RETENTION_MS = 2_000;

interface Sent {
  readonly at: number;
  readonly tokens: number;
}

/** Number of requests and of their prompt tokens. */
export interface SentSum {
  readonly requests: number;
  readonly tokens: number;
}

export class SentLog {
  private readonly sent: Sent[] = [];

  /** Records a request; calls must be in order of time. */
  note(at: number, tokens: number): void {
    this.sent.push({at, tokens});
    while (this.sent[0]!.at < at - RETENTION_MS) {
      this.sent.shift();
    }
  }

  /** Totals sent at or after `time`. */
  since(time: number): SentSum {
    let requests = 0;
    let tokens = 0;
    for (let at = this.sent.length - 1; at >= 0; at -= 1) {
      const one = this.sent[at]!;
      if (one.at < time) {
        break;
      }
      requests += 1;
      tokens += one.tokens;
    }
    return {requests, tokens};
  }
}
