/** Structured logs: one JSON line per numbered event. */
import {createConsola} from 'consola/basic';
import type {ConsolaInstance, LogObject} from 'consola/basic';
import {EVENTS, EventName, Level} from './catalogue';

/** Fields of an event. */
export type Fields = Readonly<Record<string, unknown>>;

/** Writes events of one process. */
export interface Log {
  event(name: EventName, fields?: Fields): void;
}

const LEVELS: Readonly<Record<Level, number>> = {error: 0, warn: 1, info: 3};

/** Makes the log of a process; lines go to standard error. */
export function makeLog(process_: string, level: Level): Log {
  const consola = createConsola({
    level: LEVELS[level],
    reporters: [{log: writeLine}],
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

function writeLine(line: LogObject): void {
  const fields = line.args[0] as Fields;
  const record = {time: line.date.toISOString(), level: line.type, ...fields};
  process.stderr.write(JSON.stringify(record) + '\n');
}
