/**
 * Declaration and parsing of command settings. One declaration gives a setting
 * its flag, environment variable and schema.
 */
import * as v from 'valibot';
import {Result, fail, ok} from '../result';

/**
 * One setting. `text` is its description in `--help`; without a `fallback` it
 * is required, unless the schema accepts undefined.
 */
export interface Setting {
  readonly schema: v.GenericSchema<unknown, unknown>;
  readonly text: string;
  readonly fallback?: string;
  readonly placeholder?: string;
}

/** Settings of a command, by name in camel case. */
export type SettingTable = Readonly<Record<string, Setting>>;

/** Parsed values of a table's settings. */
export type Settings<T extends SettingTable> = {
  readonly [K in keyof T]: v.InferOutput<T[K]['schema']>;
};

/** A missing or invalid setting; `value` is undefined if missing. */
export interface SettingError {
  readonly kind: 'bad-setting';
  readonly flag: string;
  readonly variable: string;
  readonly value: string | undefined;
  readonly allowed: string;
}

const ENVIRONMENT_PREFIX = 'FERRYCLEAT_';

/** `leaseTermMs` -> `--lease-term-ms`. */
export function flagOf(name: string): string {
  return '--' + name.replace(/[A-Z]/g, letter => '-' + letter.toLowerCase());
}

/** `leaseTermMs` -> `FERRYCLEAT_LEASE_TERM_MS`. */
export function variableOf(name: string): string {
  const snake = name.replace(/[A-Z]/g, letter => '_' + letter);
  return ENVIRONMENT_PREFIX + snake.toUpperCase();
}

/** Parses raw values. Fails with the first `bad-setting`. */
export function parseSettings<T extends SettingTable>(
  table: T,
  raw: Readonly<Record<string, string | undefined>>,
): Result<Settings<T>, SettingError> {
  const parsed: Record<string, unknown> = {};
  for (const [name, setting] of Object.entries(table)) {
    const value = raw[name] ?? setting.fallback;
    const result = v.safeParse(setting.schema, value);
    if (!result.success) {
      return fail({
        kind: 'bad-setting',
        flag: flagOf(name),
        variable: variableOf(name),
        value,
        allowed: result.issues.map(issue => issue.message).join('; '),
      });
    }
    parsed[name] = result.output;
  }
  return ok(parsed as Settings<T>);
}

/** Schema of an integer from `min` to `max`, parsed from text. */
export function wholeNumber(min: number, max: number) {
  const allowed = `a whole number from ${min} to ${max}`;
  return v.pipe(
    v.string(allowed),
    v.regex(/^\d+$/, allowed),
    v.transform(Number),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
}

/**
 * Schema of a name of at most 63 characters, starting with a letter or digit.
 */
export const nameSchema = v.pipe(
  v.string('a name of letters, digits, . _ and -'),
  v.regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'a name of letters, digits, . _ and -',
  ),
);
