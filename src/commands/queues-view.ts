/** Data and output of the command `site queues`. */
import * as http from 'node:http';
import * as v from 'valibot';
import * as body from '../http/body';
import * as client from '../http/client';
import * as queuesPage from '../observability/queues-page';
import {Result, fail, ok} from '../result';

export const TIMEOUT_MS = 2_000;
const STATUS_OK = 200;
const NO_ACCOUNT = 'none';

/** One entry's page, or why there is none. */
export interface EntryAnswer {
  readonly address: string;
  readonly page: Result<queuesPage.QueuesPage, string>;
}

/** Queries all entries at once. */
export async function fetchPages(
  addresses: readonly string[],
): Promise<EntryAnswer[]> {
  const agent = new http.Agent();
  const answers = addresses.map(async address => ({
    address,
    page: await fetchPage(agent, address),
  }));
  try {
    return await Promise.all(answers);
  } finally {
    agent.destroy();
  }
}

async function fetchPage(
  agent: http.Agent,
  address: string,
): Promise<EntryAnswer['page']> {
  // Bounds the whole exchange: the time-out of `send` ends with the head.
  const signal = AbortSignal.timeout(TIMEOUT_MS);
  const sent = await client.send(agent, {
    address,
    method: 'GET',
    path: queuesPage.QUEUES_PATH,
    timeoutMs: TIMEOUT_MS,
    connectTimeoutMs: TIMEOUT_MS,
    signal,
  });
  if (!sent.ok) {
    return fail(failureText(sent.error.kind));
  }
  const read = await body.readJson(sent.value, queuesPage.MAX_PAGE_BYTES);
  if (signal.aborted) {
    return fail(failureText('timed-out'));
  }
  if (sent.value.statusCode !== STATUS_OK) {
    return fail(`status ${sent.value.statusCode}`);
  }
  const page = v.safeParse(
    queuesPage.queuesPageSchema,
    read.ok ? read.value : undefined,
  );
  return page.success ? ok(page.output) : fail('invalid page');
}

function failureText(kind: client.CallError['kind']): string {
  const isLate = kind === 'timed-out' || kind === 'cancelled';
  return isLate ? `no answer within ${TIMEOUT_MS} ms` : 'no connection';
}

/** Formats the answers as plain text. */
export function formatAnswers(answers: readonly EntryAnswer[]): string {
  return answers
    .flatMap(({address, page}) =>
      page.ok
        ? formatPage(address, page.value)
        : [`entry at ${address}: ${page.error}`],
    )
    .join('\n');
}

function formatPage(address: string, page: queuesPage.QueuesPage): string[] {
  const {omittedServices, omittedWeights, floorShare} = page;
  const weights = countsText(page.weights);
  const others = omittedWeights > 0 ? `, ${omittedWeights} more` : '';
  return [
    `entry ${page.entry} at ${address}`,
    `  floor share ${floorShare}, weights: ${weights}${others}`,
    ...page.services.flatMap(formatService),
    ...(omittedServices > 0 ? [`  ${omittedServices} services more`] : []),
  ];
}

function formatService(report: queuesPage.ServiceReport): string[] {
  const {service, waiting, lines, starts, refusals, pools} = report;
  return [
    `  service ${service}: ${waiting} waiting`,
    ...lines.map(
      one =>
        `    priority ${one.priority}  account ${one.account || NO_ACCOUNT}  ` +
        `waiting ${one.waiting}  oldest ${one.oldestMs} ms`,
    ),
    `    starts per second by priority: ${countsText(starts)}`,
    `    refusals of the last 10 s: ${countsText(refusals)}`,
    ...pools.map(
      one =>
        `    pool ${one.pool}: in flight ${one.inFlight}, ` +
        `share ${one.share ?? 'not limited'}, ` +
        `capacity ${one.capacity ?? 'not known'}`,
    ),
  ];
}

function countsText(counts: Readonly<Record<string, number>>): string {
  const shown = Object.entries(counts).map(
    ([name, value]) => `${name || NO_ACCOUNT}: ${value}`,
  );
  return shown.join(', ') || 'none';
}
