/**
 * HTTP and event-stream clients for tests. Each request uses a connection of its own.
 */
import * as http from 'node:http';
import {createParser} from 'eventsource-parser';

export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** The connection ended before the response did. */
  readonly isTruncated: boolean;
}

/**
 * Resolves with `status` 0 if no response came. `timeoutMs` limits how long the
 * connection may be idle.
 */
export function call(
  address: string,
  method: string,
  path: string,
  headers: Record<string, string> = {},
  body?: string,
  timeoutMs = 20_000,
): Promise<HttpResponse> {
  return new Promise(resolve => {
    const noResponse: HttpResponse = {
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
          const isTruncated = !res.complete;
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            text,
            isTruncated,
          });
        };
        res.on('end', settle);
        res.on('error', settle);
        res.on('close', settle);
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy());
    req.on('error', () => resolve(noResponse));
    req.end(body);
  });
}

/** Throws SyntaxError if the response isn't JSON, also if there is none. */
export async function callJson<T>(
  address: string,
  method: string,
  path: string,
  document?: unknown,
): Promise<T> {
  const body = document === undefined ? undefined : JSON.stringify(document);
  const response = await call(address, method, path, {}, body);
  return JSON.parse(response.text) as T;
}

/** Sends a chat completion and collects the events of its response. */
export class EventStream {
  readonly ids: string[] = [];
  readonly payloads: string[] = [];
  /** Data of the last `error` event. */
  error: string | undefined;
  /** Body of a response whose status isn't 200. */
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

  /** True once the end marker has been received. */
  get isComplete(): boolean {
    return this.payloads[this.payloads.length - 1] === '[DONE]';
  }

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

  /** Resolves once `count` events were received or the stream has ended. */
  async whenEvents(count: number): Promise<void> {
    while (this.payloads.length < count) {
      const nextEvent = new Promise<void>(resolve => {
        const wake = () => {
          this.listeners.delete(wake);
          resolve();
        };
        this.listeners.add(wake);
      });
      const hasEnded = await Promise.race([
        nextEvent.then(() => false),
        this.ended.then(() => true),
      ]);
      if (hasEnded) {
        return;
      }
    }
  }

  close(): void {
    this.req.destroy();
  }
}
