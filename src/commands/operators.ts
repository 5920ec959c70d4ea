/** The operators' commands: template, account, check, status and explain. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import type {Command} from 'commander';
import * as v from 'valibot';
import * as app from '../configuration/app';
import * as edit from '../configuration/edit';
import * as parse from '../configuration/parse';
import * as types from '../configuration/types';
import {addressSchema} from '../http/address';
import {HttpObjectApi} from '../platform/client';
import * as journal from '../requests/journal';
import {RpcClient} from '../rpc/client';
import {EXIT, addSettings, readSettings} from '../settings/command';
import * as settings from '../settings/types';
import * as statusView from './status';

const platformTable = {
  platform: {
    schema: addressSchema,
    text: "address of the platform's object API",
    placeholder: 'ip:port',
  },
} as const satisfies settings.SettingTable;

const applyTable = {
  ...platformTable,
  author: {
    schema: settings.nameSchema,
    fallback: 'operator',
    text: 'who makes the change, for the history',
    placeholder: 'name',
  },
  base: {
    schema: v.optional(settings.wholeNumber(0, Number.MAX_SAFE_INTEGER)),
    text: 'version that the edit was made from; without it, the current one',
    placeholder: 'version',
  },
} as const satisfies settings.SettingTable;

/** Adds the `template` and `account` commands. */
export function addDocumentCommands(program: Command): void {
  for (const kind of ['template', 'account'] as const) {
    const parent = program
      .command(kind)
      .description(`read and edit ${kind}s, by conditional updates`);
    addGet(parent, kind);
    addHistory(parent, kind);
    addDiff(parent);
    addApply(parent);
  }
}

function keyOf(kind: 'template' | 'account', name: string): string {
  return kind === 'template' ? types.templateKey(name) : types.accountKey(name);
}

function addGet(parent: Command, kind: 'template' | 'account'): void {
  const command = parent
    .command('get')
    .argument('<name>')
    .option('--json', 'print JSON')
    .description('print the document in force, with its version');
  addSettings(command, platformTable).action(async (name: string) => {
    const cfg = readSettings(command, platformTable);
    await withStore(cfg.platform, async store => {
      const read = await edit.readChange(store, keyOf(kind, name));
      if (!read.ok) {
        return failWithError(command, read.error);
      }
      if (read.value === null) {
        return failWithMessage(command, EXIT.failed, `no ${kind} ${name}`);
      }
      const {version, change} = read.value;
      print(
        command.opts()['json']
          ? JSON.stringify({version, ...change})
          : `# version ${version}, by ${change.author} at ${change.at}\n` +
              parse.formatDocument(change.document),
      );
    });
  });
}

function addHistory(parent: Command, kind: 'template' | 'account'): void {
  const command = parent
    .command('history')
    .argument('<name>')
    .option('--json', 'print JSON')
    .description('print who last changed a document, and when');
  addSettings(command, platformTable).action(async (name: string) => {
    const cfg = readSettings(command, platformTable);
    await withStore(cfg.platform, async store => {
      const read = await edit.readHistory(store, keyOf(kind, name));
      if (!read.ok) {
        return failWithError(command, read.error);
      }
      print(
        command.opts()['json']
          ? JSON.stringify(read.value)
          : read.value
              .map(line => `${line.at}  ${line.author}  ${line.changeId}`)
              .join('\n'),
      );
    });
  });
}

function addDiff(parent: Command): void {
  const command = parent
    .command('diff')
    .argument('<file>')
    .description('show how a file differs from what is in force');
  addSettings(command, platformTable).action(async (file: string) => {
    const cfg = readSettings(command, platformTable);
    const documents = readDocuments(command, file);
    await withStore(cfg.platform, async store => {
      for (const document of documents) {
        const read = await edit.readChange(store, types.keyOf(document));
        if (!read.ok) {
          return failWithError(command, read.error);
        }
        const before = read.value
          ? parse.formatDocument(read.value.change.document)
          : '';
        print(diffLines(before, parse.formatDocument(document)));
      }
    });
  });
}

function addApply(parent: Command): void {
  const command = parent
    .command('apply')
    .argument('<file>')
    .description('put a file in force; refused where somebody was faster');
  addSettings(command, applyTable).action(async (file: string) => {
    const cfg = readSettings(command, applyTable);
    const documents = readDocuments(command, file);
    await withStore(cfg.platform, async store => {
      for (const document of documents) {
        const done = await applyOne(command, store, document, cfg);
        if (!done) {
          return;
        }
      }
    });
  });
}

async function applyOne(
  command: Command,
  store: HttpObjectApi,
  document: types.Document,
  cfg: settings.Settings<typeof applyTable>,
): Promise<boolean> {
  const key = types.keyOf(document);
  const base = cfg.base ?? (await currentVersion(store, key));
  const applied = await edit.applyDocument(store, document, base, cfg.author);
  if (!applied.ok) {
    failWithError(command, applied.error);
    return false;
  }
  const {object, changeId} = applied.value;
  const pushed = await pushToProcesses(store, object);
  print(
    `accepted ${key} as version ${object.version} (change ${changeId}), ` +
      `told ${pushed} processes`,
  );
  return true;
}

async function currentVersion(
  store: HttpObjectApi,
  key: string,
): Promise<number> {
  const read = await store.get(key);
  return read.ok ? (read.value?.version ?? 0) : 0;
}

/**
 * Pushes an accepted object to one process in each hall and a few more, so that
 * it spreads even if the store becomes unavailable. Returns how many received
 * it.
 */
async function pushToProcesses(
  store: HttpObjectApi,
  object: {key: string; version: number; value?: unknown},
): Promise<number> {
  const PUSHED_PROCESSES = 6;
  const list = await store.instances();
  if (!list.ok) {
    return 0;
  }
  const live = list.value.filter(i => i.state === 'live');
  const byHall = new Map(live.map(i => [i.hall, i]));
  const recipients = new Set([
    ...byHall.values(),
    ...live.slice(0, PUSHED_PROCESSES),
  ]);
  const rpc = new RpcClient();
  const item = {...object, value: object.value};
  const answers = await Promise.all(
    [...recipients].map(i => rpc.call(i.address, app.push, {item})),
  );
  rpc.close();
  return answers.filter(answer => answer.ok).length;
}

export function addCheck(program: Command): void {
  const command = program
    .command('check')
    .argument('<file...>')
    .option('--json', 'print JSON')
    .description('check configuration files; changes nothing');
  command.action((files: string[]) => {
    const faults = files.flatMap(file => checkFile(file));
    if (command.opts()['json']) {
      print(JSON.stringify({faults}));
    } else {
      faults.forEach(fault => print(fault.text));
    }
    if (faults.length > 0) {
      process.exitCode = EXIT.failed;
    } else if (!command.opts()['json']) {
      print(`${files.length} files are sound`);
    }
  });
}

function checkFile(file: string): {text: string}[] {
  const text = readText(file);
  if (text === undefined) {
    return [{text: `${file}: cannot be read`}];
  }
  const parsed = parse.parseFile(text);
  const errors = parsed.ok
    ? parse.validateAccounts(parsed.value)
    : parsed.error;
  return errors.map(err => ({
    text:
      `${file}:${err.line}:${err.column}: ` +
      `${err.path === '' ? 'document' : err.path}: ${err.detail}`,
    file,
    ...err,
  }));
}

export function addStatus(program: Command): void {
  const command = program
    .command('status')
    .option('--json', 'print JSON')
    .description('what the fleet is doing, asked of every listed process');
  addSettings(command, platformTable).action(async () => {
    const cfg = readSettings(command, platformTable);
    await withStore(cfg.platform, async store => {
      const list = await store.instances();
      if (!list.ok) {
        return failWithError(command, list.error);
      }
      const rpc = new RpcClient();
      const rows = await statusView.fetchStatusRows(rpc, list.value);
      rpc.close();
      print(
        command.opts()['json']
          ? JSON.stringify(rows)
          : statusView.formatTable(rows),
      );
    });
  });
}

export function addExplain(program: Command): void {
  const command = program
    .command('explain')
    .argument('<request id>')
    .option('--json', 'print JSON')
    .description('why a request went as it did, from recent decisions');
  addSettings(command, platformTable).action(async (request: string) => {
    const cfg = readSettings(command, platformTable);
    await withStore(cfg.platform, async store => {
      const list = await store.instances();
      if (!list.ok) {
        return failWithError(command, list.error);
      }
      const entries = list.value.filter(i => i.role === 'entry');
      const rpc = new RpcClient();
      const answers = await Promise.all(
        entries.map(i => rpc.call(i.address, journal.explain, {request})),
      );
      rpc.close();
      const found = answers.flatMap(answer =>
        answer.ok && answer.value.entry !== null ? [answer.value.entry] : [],
      );
      if (found.length === 0) {
        return failWithMessage(
          command,
          EXIT.failed,
          `no entry remembers ${request}`,
        );
      }
      print(
        command.opts()['json']
          ? JSON.stringify(found)
          : found.map(statusView.formatJournal).join('\n'),
      );
    });
  });
}

async function withStore(
  address: string,
  action: (store: HttpObjectApi) => Promise<void>,
): Promise<void> {
  const store = new HttpObjectApi(address);
  try {
    await action(store);
  } finally {
    store.close();
  }
}

function readDocuments(command: Command, file: string): types.Document[] {
  const text = readText(file);
  if (text === undefined) {
    command.error(`error: ${file} cannot be read`, {exitCode: EXIT.badUsage});
  }
  const parsed = parse.parseFile(text);
  if (parsed.ok) {
    return parsed.value;
  }
  const faults = checkFile(file).map(fault => fault.text);
  command.error(faults.join(os.EOL), {exitCode: EXIT.badUsage});
}

function readText(file: string): string | undefined {
  try {
    return fs.readFileSync(file, 'utf8');
  } catch {
    return undefined;
  }
}

function failWithError(command: Command, error: edit.EditError): void {
  switch (error.kind) {
    case 'edit-conflict':
      print(formatConflict(error));
      process.exitCode = EXIT.conflict;
      return;
    case 'unavailable':
    case 'outcome-unknown':
    case 'watch-too-old':
      return failWithMessage(command, EXIT.unavailable, JSON.stringify(error));
    case 'conflict':
    case 'value-too-large':
    case 'bad-answer':
    case 'immutable':
    case 'unsound':
      return failWithMessage(command, EXIT.failed, JSON.stringify(error));
  }
}

function formatConflict(
  error: Extract<edit.EditError, {kind: 'edit-conflict'}>,
): string {
  const currentText = error.theirs
    ? parse.formatDocument(error.theirs.document)
    : '';
  const author = error.theirs
    ? `${error.theirs.author} at ${error.theirs.at}`
    : '';
  return [
    `conflict: version ${error.theirVersion} by ${author} is in force, not the ` +
      `version ${error.base} that this edit was made from; nothing written`,
    '--- theirs',
    '+++ ours',
    diffLines(currentText, parse.formatDocument(error.ours)),
  ].join('\n');
}

/** Lines that only one side has, in order: first the old ones, then the new. */
function diffLines(before: string, after: string): string {
  const old = before.split('\n');
  const next = after.split('\n');
  const oldSet = new Set(old);
  const nextSet = new Set(next);
  return [
    ...old.filter(line => !nextSet.has(line)).map(line => `-${line}`),
    ...next.filter(line => !oldSet.has(line)).map(line => `+${line}`),
  ].join('\n');
}

function print(text: string): void {
  process.stdout.write(text + '\n');
}

function failWithMessage(
  _command: Command,
  exitCode: number,
  text: string,
): void {
  process.stderr.write(`error: ${text}\n`);
  process.exitCode = exitCode;
}
