/** What `status` and `explain` show. */
import type {Instance} from '../platform/types';
import type {JournalEntry} from '../requests/journal';
import type {RpcClient} from '../rpc/client';
import * as targetsApp from '../targets/app';

/** One process. */
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

/** Asks every listed sidecar for its own word. */
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
  const none = {running: null, queued: null, stepMs: null};
  if (role === 'entry') {
    return {...base, ...none, state: instance.state};
  }
  const answer = await rpc.call(
    address,
    targetsApp.report,
    {},
    REPORT_TIMEOUT_MS,
  );
  if (!answer.ok) {
    return {...base, ...none, state: `no answer: ${answer.error.kind}`};
  }
  const {state, load} = answer.value;
  const {running, queued, stepMs} = load;
  return {...base, state, running, queued, stepMs};
}

/** Rows as a table for people. */
export function formatTable(rows: readonly StatusRow[]): string {
  const heads = [
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
    [...heads] as string[],
    ...rows.map(row => heads.map(head => String(row[head] ?? '-'))),
  ];
  const widths = heads.map((_, column) =>
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

/** A request's decisions for people. */
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
