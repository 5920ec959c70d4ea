/**
 * What was sent to a target lately. A load report speaks of the time when it
 * was made, so whatever was sent after that has to be added to it.
 */
const RETENTION_MS = 2_000;

interface Sent {
  readonly at: number;
  readonly tokens: number;
}

/** Requests and prompt tokens. */
export interface SentSum {
  readonly requests: number;
  readonly tokens: number;
}

export class SentLog {
  private readonly sent: Sent[] = [];

  /** Notes a request, in order of time. */
  note(at: number, tokens: number): void {
    this.sent.push({at, tokens});
    while (this.sent[0]!.at < at - RETENTION_MS) {
      this.sent.shift();
    }
  }

  /** What was sent at or after a time. */
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
