/** Structured logging: one JSON line per event of the catalogue. */
import {createConsola} from 'consola/basic';
import type {ConsolaInstance, LogObject} from 'consola/basic';
import {EVENTS, EventName, Level} from './catalogue';
import {LogRateLimiter} from './log-rate-limiter';
import {LineWriter} from './line-writer';

export type Fields = Readonly<Record<string, unknown>>;

/** Logs the events of one process. */
export interface Log {
  event(name: EventName, fields?: Fields): void;
}

const LEVELS: Readonly<Record<Level, number>> = {error: 0, warn: 1, info: 3};

const STANDARD_OUTPUT = 1;
/** Characters of a line above which its long values are shortened. */
const MAX_LINE_LENGTH = 2_048;
const MAX_VALUE_LENGTH = 256;

/** Logs to standard error, with a limited rate. */
export function makeLog(processName: string, level: Level): Log {
  const unlimited = makeLogTo(processName, level, line =>
    process.stderr.write(line + '\n'),
  );
  return limitRate(unlimited, new LogRateLimiter(), {dropped: 0});
}

/** Logs to standard output, asynchronously and with a limited rate. */
export function makeSiteLog(
  processName: string,
  level: Level,
): {log: Log; lines: LineWriter} {
  const lines = new LineWriter(STANDARD_OUTPUT);
  const unlimited = makeLogTo(processName, level, line => lines.write(line));
  return {log: limitRate(unlimited, new LogRateLimiter(), lines), lines};
}

/**
 * Drops lines above the rate limit. Logs how many lines were dropped, including
 * those that `lines` could not queue.
 */
function limitRate(
  unlimited: Log,
  limiter: LogRateLimiter,
  lines: Pick<LineWriter, 'dropped'>,
): Log {
  let droppedBefore = 0;
  return {
    event: (name, fields = {}) => {
      const isInfo = EVENTS[name].level === 'info';
      const request =
        typeof fields.request === 'string' ? fields.request : undefined;
      if (!limiter.admit({isInfo, request}, performance.now())) {
        return;
      }
      const count = limiter.takeDropped() + lines.dropped - droppedBefore;
      droppedBefore = lines.dropped;
      if (count > 0) {
        unlimited.event('linesDropped', {count});
      }
      unlimited.event(name, fields);
    },
  };
}

function makeLogTo(
  processName: string,
  level: Level,
  writeLine: (line: string) => void,
): Log {
  const consola = createConsola({
    level: LEVELS[level],
    reporters: [{log: line => writeLine(formatLine(line))}],
  });
  return {
    event: (name, fields = {}) => write(consola, processName, name, fields),
  };
}

/** A log that drops everything. */
export const SILENT_LOG: Log = {event: () => undefined};

function write(
  consola: ConsolaInstance,
  processName: string,
  name: EventName,
  fields: Fields,
): void {
  const entry = EVENTS[name];
  consola[entry.level]({
    event: entry.id,
    text: entry.text,
    process: processName,
    ...fields,
  });
}

function formatLine(line: LogObject): string {
  const fields = line.args[0] as Fields;
  const record = {time: line.date.toISOString(), level: line.type, ...fields};
  const text = JSON.stringify(record);
  return text.length <= MAX_LINE_LENGTH
    ? text
    : JSON.stringify(record, (_name, value: unknown) => shorten(value));
}

/** Callers choose ids and paths. */
function shorten(value: unknown): unknown {
  return typeof value === 'string' && value.length > MAX_VALUE_LENGTH
    ? `${value.slice(0, MAX_VALUE_LENGTH)}...`
    : value;
}
