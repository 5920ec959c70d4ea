/**
 * The requests that this entry is serving, and for how long their targets have been
 * answering them. Counts events, not time: a target that stalls answers nothing.
 */
import type {SurveyAnswer} from './app';
import type {SuspectTracker} from './suspect-tracker';

export class OpenRequest {
  private cached: readonly string[] | undefined;
  private firstEventAt: number | undefined;
  private lastEventAt = 0;

  constructor(
    readonly id: string,
    private readonly makeFingerprints: () => readonly string[],
    private readonly onClose: (request: OpenRequest) => void,
  ) {}

  /** From broad to specific. Made on first use: most requests need none. */
  get fingerprints(): readonly string[] {
    this.cached ??= this.makeFingerprints();
    return this.cached;
  }

  /** Milliseconds from the first to the latest event of the current send. */
  get answeredMs(): number {
    return this.firstEventAt === undefined
      ? 0
      : this.lastEventAt - this.firstEventAt;
  }

  beginSend(): void {
    this.firstEventAt = undefined;
  }

  noteEvents(now: number): void {
    this.firstEventAt ??= now;
    this.lastEventAt = now;
  }

  close(): void {
    this.onClose(this);
  }
}

export class OpenRequests {
  private readonly requests = new Set<OpenRequest>();

  open(id: string, makeFingerprints: () => readonly string[]): OpenRequest {
    const request = new OpenRequest(id, makeFingerprints, one =>
      this.requests.delete(one),
    );
    this.requests.add(request);
    return request;
  }

  /** Which suspects the open requests have, and which of them have survived. */
  survey(
    suspects: ReadonlySet<string>,
    tracker: SuspectTracker,
    now: number,
  ): SurveyAnswer {
    const open = new Map<string, number>();
    const served = new Set<string>();
    for (const request of this.requests) {
      for (const fingerprint of request.fingerprints) {
        if (suspects.has(fingerprint)) {
          open.set(fingerprint, (open.get(fingerprint) ?? 0) + 1);
          if (tracker.hasSurvived(fingerprint, request.answeredMs, now)) {
            served.add(fingerprint);
          }
        }
      }
    }
    return {served: [...served], open: [...open]};
  }
}
