/** Small HTTP calls for tests. */
import * as http from 'node:http';
import {createParser} from 'eventsource-parser';

/** A whole answer; `cut` where the connection ended before the answer. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly isTruncated: boolean;
}

/** Sends a request; `status` 0 means that no answer came. */
export function call(
  address: string,
  method: string,
  path: string,
  headers: Record<string, string> = {},
  body?: string,
  timeoutMs = 20_000,
): Promise<HttpResponse> {
  return new Promise(resolve => {
    const none: HttpResponse = {
      status: 0,
      headers: {},
      text: '',
      isTruncated: true,
    };
    const req = http.request(
      `http://${address}${path}`,
      {method, headers, agent: false},
      res => {
        let text = '';
        res.setEncoding('utf8');
        res.on('data', (chunk: string) => {
          text += chunk;
        });
        const settle = () => {
          const cut = !res.complete;
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            text,
            isTruncated: cut,
          });
        };
        res.on('end', settle);
        res.on('error', settle);
        res.on('close', settle);
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy());
    req.on('error', () => resolve(none));
    req.end(body);
  });
}

/** A JSON call. */
export async function callJson<T>(
  address: string,
  method: string,
  path: string,
  document?: unknown,
): Promise<T> {
  const body = document === undefined ? undefined : JSON.stringify(document);
  const answer = await call(address, method, path, {}, body);
  return JSON.parse(answer.text) as T;
}

/** A stream of events as a caller sees it. */
export class EventStream {
  readonly ids: string[] = [];
  readonly payloads: string[] = [];
  error: string | undefined;
  /** What came where no stream did: a refusal. */
  body = '';
  status = 0;
  headers: http.IncomingHttpHeaders = {};
  private readonly req: http.ClientRequest;
  private readonly ended: Promise<void>;
  private readonly listeners = new Set<() => void>();

  constructor(
    address: string,
    headers: Record<string, string>,
    body: string | undefined,
  ) {
    const parser = createParser({
      onEvent: event => {
        if (event.event === 'error') {
          this.error = event.data;
        } else {
          this.ids.push(event.id ?? '');
          this.payloads.push(event.data);
        }
        this.listeners.forEach(wake => wake());
      },
    });
    const req = http.request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers,
      agent: false,
    });
    this.req = req;
    this.ended = new Promise(resolve => {
      req.on('error', () => resolve());
      req.on('response', res => {
        this.status = res.statusCode ?? 0;
        this.headers = res.headers;
        res.setEncoding('utf8');
        res.on('data', (chunk: string) => {
          parser.feed(chunk);
          this.body += res.statusCode === 200 ? '' : chunk;
        });
        res.on('close', () => resolve());
        res.on('error', () => resolve());
      });
    });
    req.end(body);
  }

  /** True where the stream's own end has come. */
  get isComplete(): boolean {
    return this.payloads[this.payloads.length - 1] === '[DONE]';
  }

  /** The text of all tokens. */
  get text(): string {
    return this.payloads
      .filter(data => data !== '[DONE]')
      .map(data => {
        const chunk = JSON.parse(data) as {
          choices: {delta: {content: string}}[];
        };
        return chunk.choices[0]?.delta.content ?? '';
      })
      .join('');
  }

  whenEnded(): Promise<void> {
    return this.ended;
  }

  /** Resolves once this many events have come, or the stream has ended. */
  async whenEvents(count: number): Promise<void> {
    while (this.payloads.length < count) {
      const next = new Promise<void>(resolve => {
        const wake = () => {
          this.listeners.delete(wake);
          resolve();
        };
        this.listeners.add(wake);
      });
      const isOver = await Promise.race([
        next.then(() => false),
        this.ended.then(() => true),
      ]);
      if (isOver) {
        return;
      }
    }
  }

  close(): void {
    this.req.destroy();
  }
}
