/**
 * Server-sent events that carry `<name>.<sequence>` as their id, read from a
 * connection that may break, and written with backpressure.
 * Source: WHATWG HTML, section 9.2.
 */
import type * as http from 'node:http';
import {createParser} from 'eventsource-parser';
import * as body from '../http/body';
import * as sequence from './reorder-buffer';

/** The data of the event that ends a whole stream. */
export const DONE_DATA = '[DONE]';
const GAP_TIMEOUT_MS = 500;
const REQUEST_ID_PATTERN = /^[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}$/;
const MAX_EVENT_BYTES = 1024 * 1024;

/** How reading a connection ended. */
export type StreamEnd =
  | {readonly kind: 'done'}
  /** The connection broke or skipped events: resume after `delivered`. */
  | {readonly kind: 'broken'}
  /** An event of another stream came: nothing of it was delivered. */
  | {readonly kind: 'foreign'; readonly id: string}
  /** The peer ended the stream with a typed error. */
  | {readonly kind: 'failed'; readonly data: string};

/** Delivers one event in order; resolves once it may send more. */
export type Deliver = (sequence: number, data: string) => Promise<void>;

interface RawEvent {
  readonly id: string | undefined;
  readonly event: string | undefined;
  readonly data: string;
}

/** Splits `<name>.<sequence>`; undefined where the text is no such id. */
export function splitEventId(
  id: string,
): {name: string; sequence: number} | undefined {
  const dot = id.lastIndexOf('.');
  const digits = id.slice(dot + 1);
  return dot > 0 && /^\d{1,12}$/.test(digits)
    ? {name: id.slice(0, dot), sequence: Number(digits)}
    : undefined;
}

/** Splits `<target>.<request>`; undefined where the text is neither. */
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
  gate: sequence.ReorderBuffer<string>,
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
        const end = await handleEvent(event, name, gate, deliver);
        if (end !== undefined) {
          return end;
        }
      }
      clearTimeout(gapTimer);
      gapTimer = gate.hasGap
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
  gate: sequence.ReorderBuffer<string>,
  deliver: Deliver,
): Promise<StreamEnd | undefined> {
  if (event.event === 'error') {
    return {kind: 'failed', data: event.data};
  }
  const id = splitEventId(event.id ?? '');
  if (id === undefined || id.name !== name) {
    return {kind: 'foreign', id: event.id ?? ''};
  }
  const offer = gate.offer(id.sequence, event.data);
  if (offer.kind === 'gap') {
    return {kind: 'broken'};
  }
  for (const ready of offer.kind === 'deliver' ? offer.events : []) {
    await deliver(ready.sequence, ready.event);
    if (ready.event === DONE_DATA) {
      return {kind: 'done'};
    }
  }
  return undefined;
}

/** Writes one event; resolves when the peer can take more, or is gone. */
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
