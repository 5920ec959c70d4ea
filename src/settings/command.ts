/** Adds settings to commands as flags and environment variables; exit codes. */
import type {Command} from 'commander';
import {Option} from 'commander';
import * as settings from './types';

/** Exit codes of all commands, documented in docs/OPERATIONS.md. */
export const EXIT = {
  ok: 0,
  failed: 1,
  badUsage: 2,
  conflict: 3,
  unavailable: 4,
} as const;

/** Adds each setting of a table as a flag and an environment variable. */
export function addSettings(
  command: Command,
  table: settings.SettingTable,
): Command {
  for (const [name, setting] of Object.entries(table)) {
    const flag = settings.flagOf(name);
    const text =
      setting.fallback === undefined
        ? `${setting.text} (required)`
        : setting.text;
    const option = new Option(`${flag} <${setting.placeholder}>`, text);
    option.env(settings.variableOf(name));
    if (setting.fallback !== undefined && setting.fallback !== '') {
      option.default(undefined, setting.fallback);
    }
    command.addOption(option);
  }
  return command;
}

/**
 * Parses a command's settings. For an invalid one, prints an error and exits
 * with `EXIT.badUsage`.
 */
export function readSettings<T extends settings.SettingTable>(
  command: Command,
  table: T,
): settings.Settings<T> {
  const raw = command.opts<Record<string, string | undefined>>();
  const parsed = settings.parseSettings(table, raw);
  if (parsed.ok) {
    return parsed.value;
  }
  const {flag, variable, value, allowed} = parsed.error;
  const given = value === undefined ? 'missing' : JSON.stringify(value);
  command.error(
    `error: ${flag} (or ${variable}) is ${given}; allowed: ${allowed}`,
    {exitCode: EXIT.badUsage, code: 'ferrycleat.badSetting'},
  );
}
