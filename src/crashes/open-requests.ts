/**
 * The requests that this entry is serving, and for how long their targets have been
 * answering them. Counts events, not time: a target that stalls answers nothing.
 */
import type {SurveyAnswer} from './app';
import * as fingerprints from './fingerprints';
import type {SuspectTracker} from './suspect-tracker';

/** What is known of a request when it arrives. */
export interface TrackedRequest {
  readonly id: string;
  readonly service: string;
  readonly sharedParts: readonly string[];
  /** Called once at most, and only where crashes are suspected. */
  makeDigest(): string;
}

export class OpenRequest {
  private cached: readonly string[] | undefined;
  private firstEventAt: number | undefined;
  private lastEventAt = 0;

  constructor(
    private readonly request: TrackedRequest,
    private readonly onClose: (request: OpenRequest) => void,
  ) {}

  get id(): string {
    return this.request.id;
  }

  get service(): string {
    return this.request.service;
  }

  /** From broad to specific: the shared parts, then the whole request. */
  get fingerprints(): readonly string[] {
    const {service, makeDigest} = this.request;
    this.cached ??= [
      ...this.parts,
      fingerprints.ofRequest(service, makeDigest()),
    ];
    return this.cached;
  }

  /** Fingerprints of the shared parts. */
  get parts(): readonly string[] {
    const {service, sharedParts} = this.request;
    return fingerprints.ofParts(service, sharedParts);
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

  open(tracked: TrackedRequest): OpenRequest {
    const request = new OpenRequest(tracked, one => this.requests.delete(one));
    this.requests.add(request);
    return request;
  }

  /** Which suspects the open requests have, and which of them have survived. */
  survey(
    suspects: ReadonlySet<string>,
    tracker: SuspectTracker,
    now: number,
  ): Pick<SurveyAnswer, 'served' | 'open'> {
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
