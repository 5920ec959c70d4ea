/** Data and output of the `status` and `explain` commands. */
import type {Instance} from '../platform/types';
import type {JournalEntry} from '../requests/journal';
import type {RpcClient} from '../rpc/client';
import * as targetsApp from '../targets/app';

/** Status of one process; its load is null if unknown. */
export interface StatusRow {
  readonly id: string;
  readonly hall: string;
  readonly role: string;
  readonly address: string;
  readonly serves: string;
  readonly state: string;
  readonly running: number | null;
  readonly queued: number | null;
  readonly stepMs: number | null;
}

const REPORT_TIMEOUT_MS = 1_000;

/**
 * Queries each listed sidecar for its state and load. Entries are not queried:
 * their state comes from the list.
 */
export function fetchStatusRows(
  rpc: RpcClient,
  instances: readonly Instance[],
): Promise<StatusRow[]> {
  return Promise.all(instances.map(instance => fetchStatusRow(rpc, instance)));
}

async function fetchStatusRow(
  rpc: RpcClient,
  instance: Instance,
): Promise<StatusRow> {
  const {id, hall, role, address, serves} = instance;
  const base = {id, hall, role, address, serves};
  const noLoad = {running: null, queued: null, stepMs: null};
  if (role === 'entry') {
    return {...base, ...noLoad, state: instance.state};
  }
  const answer = await rpc.call(
    address,
    targetsApp.report,
    {},
    REPORT_TIMEOUT_MS,
  );
  if (!answer.ok) {
    return {...base, ...noLoad, state: `no answer: ${answer.error.kind}`};
  }
  const {state, load} = answer.value;
  const {running, queued, stepMs} = load;
  return {...base, state, running, queued, stepMs};
}

/** Formats rows as a table in plain text. */
export function formatTable(rows: readonly StatusRow[]): string {
  const columns = [
    'id',
    'hall',
    'role',
    'address',
    'serves',
    'state',
    'running',
    'queued',
    'stepMs',
  ] as const;
  const lines = [
    [...columns] as string[],
    ...rows.map(row => columns.map(column => String(row[column] ?? '-'))),
  ];
  const widths = columns.map((_, column) =>
    Math.max(...lines.map(line => line[column]!.length)),
  );
  return lines
    .map(line =>
      line
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats the decisions made for a request as plain text. */
export function formatJournal(entry: JournalEntry): string {
  const lines = [
    `${entry.request}  ${entry.what}  account ${entry.account}`,
    `  at ${entry.at}, outcome ${entry.outcome} ${entry.detail}`.trimEnd(),
  ];
  for (const attempt of entry.attempts) {
    lines.push(`  tried ${attempt.target}: ${attempt.result}`);
    for (const scored of attempt.weighed) {
      lines.push(
        `    ${scored.id}  score ${scored.score.toFixed(1)} ms = ` +
          `wait ${scored.waitMs.toFixed(1)} + ` +
          `prefill ${scored.prefillMs.toFixed(1)} + ` +
          `step ${scored.stepMs.toFixed(1)} + ` +
          `hall ${scored.hallMs.toFixed(1)}`,
      );
    }
  }
  return lines.join('\n');
}
