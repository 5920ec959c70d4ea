/** Structured logs: one JSON line per numbered event. */
import {createConsola} from 'consola/basic';
import type {ConsolaInstance, LogObject} from 'consola/basic';
import {EVENTS, EventName, Level} from './catalogue';
import {LogRateLimiter} from './log-rate-limiter';
import {LineWriter} from './line-writer';

/** Fields of an event. */
export type Fields = Readonly<Record<string, unknown>>;

/** Writes events of one process. */
export interface Log {
  event(name: EventName, fields?: Fields): void;
}

const LEVELS: Readonly<Record<Level, number>> = {error: 0, warn: 1, info: 3};

const STANDARD_OUTPUT = 1;

/** Makes the log of a process; lines go to standard error. */
export function makeLog(process_: string, level: Level): Log {
  return makeLogTo(process_, level, line => process.stderr.write(line + '\n'));
}

/** Makes the log of a process of a site; lines go to standard output. */
export function makeSiteLog(
  process_: string,
  level: Level,
): {log: Log; lines: LineWriter} {
  const lines = new LineWriter(STANDARD_OUTPUT);
  const whole = makeLogTo(process_, level, line => lines.write(line));
  return {log: limitRate(whole, new LogRateLimiter(), lines), lines};
}

/** Leaves lines out over the budget, and tells how many. */
function limitRate(whole: Log, budget: LogRateLimiter, lines: LineWriter): Log {
  let droppedBefore = 0;
  return {
    event: (name, fields = {}) => {
      const isInfo = EVENTS[name].level === 'info';
      const request =
        typeof fields.request === 'string' ? fields.request : undefined;
      if (!budget.admit({isInfo, request}, performance.now())) {
        return;
      }
      const count = budget.takeDropped() + lines.dropped - droppedBefore;
      droppedBefore = lines.dropped;
      if (count > 0) {
        whole.event('linesDropped', {count});
      }
      whole.event(name, fields);
    },
  };
}

function makeLogTo(
  process_: string,
  level: Level,
  put: (line: string) => void,
): Log {
  const consola = createConsola({
    level: LEVELS[level],
    reporters: [{log: line => put(formatLine(line))}],
  });
  return {
    event: (name, fields = {}) => write(consola, process_, name, fields),
  };
}

/** A log that drops everything. */
export const SILENT_LOG: Log = {event: () => undefined};

function write(
  consola: ConsolaInstance,
  process_: string,
  name: EventName,
  fields: Fields,
): void {
  const entry = EVENTS[name];
  consola[entry.level]({
    event: entry.id,
    text: entry.text,
    process: process_,
    ...fields,
  });
}

function formatLine(line: LogObject): string {
  const fields = line.args[0] as Fields;
  const record = {time: line.date.toISOString(), level: line.type, ...fields};
  return JSON.stringify(record);
}
