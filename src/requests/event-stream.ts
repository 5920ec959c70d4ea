/**
 * Reads and writes server-sent events with the id `<name>.<sequence>`. Writes
 * observe backpressure; a broken connection must be resumed by the caller.
 * Source: WHATWG HTML, section 9.2.
 */
import type * as http from 'node:http';
import {createParser} from 'eventsource-parser';
import * as body from '../http/body';
import * as reorderBuffer from './reorder-buffer';

/** Data of the event that ends a complete stream. */
export const DONE_DATA = '[DONE]';
const GAP_TIMEOUT_MS = 500;
const REQUEST_ID_PATTERN = /^[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}$/;
const MAX_EVENT_BYTES = 1024 * 1024;

/** How reading a connection ended. */
export type StreamEnd =
  | {readonly kind: 'done'}
  /** The connection broke or skipped events: resume it. */
  | {readonly kind: 'broken'}
  /** An event of another stream arrived; it was not delivered. */
  | {readonly kind: 'foreign'; readonly id: string}
  /** The peer ended the stream with a typed error. */
  | {readonly kind: 'failed'; readonly data: string};

/** Delivers one event; resolves when the next may be delivered. */
export type Deliver = (sequence: number, data: string) => Promise<void>;

interface RawEvent {
  readonly id: string | undefined;
  readonly event: string | undefined;
  readonly data: string;
}

/** Splits `<name>.<sequence>`; undefined if malformed. */
export function splitEventId(
  id: string,
): {name: string; sequence: number} | undefined {
  const dot = id.lastIndexOf('.');
  const digits = id.slice(dot + 1);
  return dot > 0 && /^\d{1,12}$/.test(digits)
    ? {name: id.slice(0, dot), sequence: Number(digits)}
    : undefined;
}

/** Splits `<target>.<request>`; undefined if malformed. */
export function splitStreamName(
  name: string,
): {target: string; request: string} | undefined {
  const dot = name.lastIndexOf('.');
  const request = name.slice(dot + 1);
  return dot > 0 && REQUEST_ID_PATTERN.test(request)
    ? {target: name.slice(0, dot), request}
    : undefined;
}

/** Reads a connection's events in order until the stream ends or breaks. */
export async function readEvents(
  res: http.IncomingMessage,
  name: string,
  buffer: reorderBuffer.ReorderBuffer<string>,
  deliver: Deliver,
): Promise<StreamEnd> {
  let queue: RawEvent[] = [];
  const parser = createParser({
    onEvent: event =>
      queue.push({id: event.id, event: event.event, data: event.data}),
    maxBufferSize: MAX_EVENT_BYTES,
  });
  let gapTimer: NodeJS.Timeout | undefined;
  res.setEncoding('utf8');
  try {
    for await (const chunk of res) {
      parser.feed(chunk as string);
      const events = queue;
      queue = [];
      for (const event of events) {
        const end = await handleEvent(event, name, buffer, deliver);
        if (end !== undefined) {
          return end;
        }
      }
      clearTimeout(gapTimer);
      gapTimer = buffer.hasGap
        ? setTimeout(() => res.destroy(), GAP_TIMEOUT_MS)
        : undefined;
    }
  } catch {
    return {kind: 'broken'};
  } finally {
    clearTimeout(gapTimer);
    res.destroy();
  }
  return {kind: 'broken'};
}

async function handleEvent(
  event: RawEvent,
  name: string,
  buffer: reorderBuffer.ReorderBuffer<string>,
  deliver: Deliver,
): Promise<StreamEnd | undefined> {
  if (event.event === 'error') {
    return {kind: 'failed', data: event.data};
  }
  const id = splitEventId(event.id ?? '');
  if (id === undefined || id.name !== name) {
    return {kind: 'foreign', id: event.id ?? ''};
  }
  const offered = buffer.offer(id.sequence, event.data);
  if (offered.kind === 'gap') {
    return {kind: 'broken'};
  }
  for (const ready of offered.kind === 'deliver' ? offered.events : []) {
    await deliver(ready.sequence, ready.event);
    if (ready.event === DONE_DATA) {
      return {kind: 'done'};
    }
  }
  return undefined;
}

/**
 * Writes one event; resolves when the peer can take more or has disconnected.
 */
export async function writeEvent(
  res: http.ServerResponse,
  id: string,
  data: string,
): Promise<void> {
  await body.writeWithBackpressure(
    res,
    `id: ${id}\ndata: ${data.replaceAll('\n', '\ndata: ')}\n\n`,
  );
}

/** Writes a typed error as the last event of a stream. */
export async function writeErrorEvent(
  res: http.ServerResponse,
  document: unknown,
): Promise<void> {
  await body.writeWithBackpressure(
    res,
    `event: error\ndata: ${JSON.stringify(document)}\n\n`,
  );
}
