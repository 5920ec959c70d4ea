/** One caller's request while it is served; it is answered at most once. */
import type * as http from 'node:http';
import type {Timing} from '../observability/metrics';
import type {Route} from '../routes/types';
import type {ForwarderContext} from './forwarder';
import type {AnswerHead, Refusal, RequestHead} from './types';

/** Stands for requests without a client account. */
const OPEN_ACCOUNT = 'none';

export class Call {
  head: RequestHead | undefined;
  /** Monotonic time at which the caller must have its answer. */
  endsAt = Infinity;
  readonly startedAt = performance.now();
  /** Sends so far, over all targets. */
  sends = 0;
  /** Sends that may have run. */
  runs = 0;
  /** True where the caller has likely tried before. */
  isLater = false;
  target = '';
  private route: Route | undefined;
  private readonly left = new AbortController();
  private isAnswered = false;
  private account = OPEN_ACCOUNT;

  constructor(
    readonly req: http.IncomingMessage,
    readonly res: http.ServerResponse,
    private readonly context: ForwarderContext,
    private readonly wantsCallerGone: () => boolean,
  ) {
    res.once('close', () => {
      if (!res.writableFinished) {
        this.left.abort();
      }
    });
  }

  /** Aborted when the caller has left. */
  get signal(): AbortSignal {
    return this.left.signal;
  }

  get hasLeft(): boolean {
    return this.left.signal.aborted;
  }

  get leftMs(): number {
    return this.endsAt - performance.now();
  }

  /** Sets the route and the time that the request may take. */
  setRoute(route: Route, account: string | undefined, timeMs: number): void {
    this.route = route;
    this.account = account ?? OPEN_ACCOUNT;
    this.endsAt = this.startedAt + timeMs;
  }

  /** Notes how a send ended. */
  noteOutcome(isNotRun: boolean): void {
    this.runs += isNotRun ? 0 : 1;
  }

  /** Answers with a refusal or failure of our own. */
  refuse(refusal: Refusal): void {
    if (this.isAnswered || this.hasLeft) {
      this.end('caller-left');
      return;
    }
    this.isAnswered = true;
    const made = this.context.wire.refusalHead(refusal, this.head?.id);
    const body = Buffer.from(JSON.stringify(bodyOf(refusal)));
    this.res.writeHead(made.status, [
      ...made.headers,
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
      ...this.connectionHeaders(refusal.kind === 'too-large'),
    ]);
    this.res.end(body);
    this.end('why' in refusal ? refusal.why : refusal.kind, made.status);
  }

  /** Passes a target's whole answer on. */
  pass(head: AnswerHead, body: Buffer): void {
    if (this.isAnswered || this.hasLeft) {
      this.end('caller-left');
      return;
    }
    this.isAnswered = true;
    this.res.writeHead(head.status, [
      ...withoutLength(head.passedHeaders),
      'Content-Length',
      String(body.length),
      ...this.connectionHeaders(false),
    ]);
    this.res.end(body);
    this.end('answered', head.status);
  }

  /** Begins to pass a stream on. */
  beginStream(head: AnswerHead): void {
    this.isAnswered = true;
    this.time('first_token');
    this.res.writeHead(head.status, [
      ...withoutLength(head.passedHeaders),
      ...this.connectionHeaders(false),
    ]);
  }

  /** Notes the end in log and metrics. */
  end(outcome: string, status?: number): void {
    const {log, metrics} = this.context;
    const ms = Math.round(performance.now() - this.startedAt);
    metrics.count('requests_total', {outcome});
    this.time('whole');
    log.event('requestEnded', {
      request: this.head?.id,
      route: this.route?.name,
      outcome,
      status,
      target: this.target,
      sends: this.sends,
      ms,
    });
  }

  /** Whatever happened, the connection ends where nothing was answered. */
  close(): void {
    if (!this.res.headersSent && !this.hasLeft) {
      this.res.destroy();
    }
  }

  /** Notes the time since the start, by client account and kind of route. */
  private time(timing: Timing): void {
    const ms = performance.now() - this.startedAt;
    const kind = this.route?.kind ?? 'no-route';
    this.context.metrics.time(timing, this.account, kind, ms);
  }

  private connectionHeaders(mustClose: boolean): string[] {
    return mustClose || this.wantsCallerGone() ? ['Connection', 'close'] : [];
  }
}

function bodyOf(refusal: Refusal): object {
  return {error: refusal};
}

function withoutLength(raw: readonly string[]): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]!.toLowerCase() !== 'content-length') {
      kept.push(raw[at]!, raw[at + 1]!);
    }
  }
  return kept;
}
