/** Parses and validates YAML configuration files; errors name line and column. */
import * as v from 'valibot';
import * as yaml from 'yaml';
import {Result, fail, ok} from '../result';
import * as render from './render';
import * as types from './types';

const MAX_ALIASES = 100;

/** Where and why a file is invalid. Line and column start at 1. */
export interface FileError {
  readonly kind: 'bad-file';
  readonly line: number;
  readonly column: number;
  /** Dotted path of the field; empty for the document. */
  readonly path: string;
  readonly detail: string;
}

/** Parses all documents of a YAML text. Fails with every error found. */
export function parseFile(text: string): Result<types.Document[], FileError[]> {
  const lines = new yaml.LineCounter();
  const parsed = yaml.parseAllDocuments(text, {lineCounter: lines});
  const documents: types.Document[] = [];
  const errors: FileError[] = [];
  for (const source of 'empty' in parsed ? [] : parsed) {
    if (source.errors.length > 0) {
      errors.push(...source.errors.map(err => syntaxError(err, lines)));
      continue;
    }
    const value = resolveAliases(source);
    if (!value.ok) {
      errors.push(value.error);
      continue;
    }
    const result = v.safeParse(types.documentSchema, value.value);
    if (result.success) {
      documents.push(result.output);
    } else {
      errors.push(
        ...result.issues.map(issue => schemaError(issue, source, lines)),
      );
    }
  }
  if (documents.length === 0 && errors.length === 0) {
    const detail = 'the file holds no document';
    errors.push({kind: 'bad-file', line: 1, column: 1, path: '', detail});
  }
  return errors.length > 0 ? fail(errors) : ok(documents);
}

/** Errors of the accounts whose template is in the same file. */
export function validateAccounts(
  documents: readonly types.Document[],
): FileError[] {
  const templates = new Map(
    documents.flatMap(document =>
      document.kind === 'template' ? [[document.name, document]] : [],
    ),
  );
  return documents.flatMap(document => {
    if (document.kind !== 'account' || !templates.has(document.template)) {
      return [];
    }
    const template = templates.get(document.template);
    const rendered = render.renderAccount(document, template);
    if (rendered.ok) {
      return [];
    }
    const detail = `account ${document.id}: ${JSON.stringify(rendered.error)}`;
    return [{kind: 'bad-file', line: 1, column: 1, path: '', detail}];
  });
}

/** The YAML text that an operator edits. */
export function formatDocument(document: types.Document): string {
  return yaml.stringify(document);
}

/** Fails if an alias has no anchor or if aliases expand too far. */
function resolveAliases(source: yaml.Document): Result<unknown, FileError> {
  try {
    return ok(source.toJS({maxAliasCount: MAX_ALIASES}));
  } catch (err) {
    const detail = (err as Error).message;
    return fail({kind: 'bad-file', line: 1, column: 1, path: '', detail});
  }
}

function syntaxError(
  err: yaml.YAMLParseError,
  lines: yaml.LineCounter,
): FileError {
  const {line, col} = lines.linePos(err.pos[0]);
  const detail = err.message.split('\n')[0] ?? err.code;
  return {kind: 'bad-file', line, column: col, path: '', detail};
}

function schemaError(
  issue: v.BaseIssue<unknown>,
  source: yaml.Document,
  lines: yaml.LineCounter,
): FileError {
  const keys = (issue.path ?? []).map(item => item.key as string | number);
  const {line, col} = lines.linePos(findOffset(source, keys));
  return {
    kind: 'bad-file',
    line,
    column: col,
    path: keys.join('.'),
    detail: issue.message,
  };
}

/** Offset of the field, or of the nearest enclosing one that exists. */
function findOffset(
  source: yaml.Document,
  keys: readonly (string | number)[],
): number {
  for (let depth = keys.length; depth >= 0; depth -= 1) {
    const node = source.getIn(keys.slice(0, depth), true);
    if (yaml.isNode(node) && node.range) {
      return node.range[0];
    }
  }
  return source.contents?.range?.[0] ?? 0;
}
