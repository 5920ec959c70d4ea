/** Formats the course of a request as plain text. Pure. */
import type * as logEvents from './log-events';
import type {Competition, Course, CourseStep} from './request-course';

const DETAIL_INDENT = '    ';
/** Accounts listed by name. */
const MAX_ACCOUNTS = 8;
/** Of other events: what each line says anyway. */
const COMMON_FIELDS = new Set([
  'time',
  'level',
  'event',
  'text',
  'process',
  'request',
]);
const LIMIT_TEXTS: Readonly<Record<string, string>> = {
  slots: 'the slots of the targets',
  group: 'the request limit of the group',
  share: "this entry's share of the pool",
  permit: 'permits to send to rate-limited or cold targets',
  'closed-group': 'the group was closed',
  cooldown: 'cooldown of the targets',
  targets: 'no target could be used',
};

export function formatCourse(course: Course): string {
  const {request, steps, unreadableLines} = course;
  const lines = [
    `request ${request}`,
    ...arrivals(steps),
    ...steps.flatMap(formatStep),
  ];
  if (unreadableLines > 0) {
    lines.push(`${unreadableLines} lines could not be read`);
  }
  return lines.join('\n');
}

/** Arrivals by process: the end of a request says how long it took. */
function arrivals(steps: readonly CourseStep[]): string[] {
  return steps.flatMap(({logged}) => {
    if (logged.kind !== 'ended') {
      return [];
    }
    const {time, process, ms, route} = logged.event;
    const text = `arrived${route === undefined ? '' : `, route ${route}`}`;
    return [formatLine(time - ms, process, text)];
  });
}

function formatStep({logged, competition}: CourseStep): string[] {
  const {time, process} = logged.event;
  const line = (text: string) => formatLine(time, process, text);
  switch (logged.kind) {
    case 'refused':
      return [
        line(`refused: ${logged.event.kind}${refusalFields(logged.event)}`),
        ...details(refusalDetails(logged.event)),
        ...details(
          competition === undefined ? [] : competitionDetails(competition),
        ),
      ];
    case 'sent':
      return [line(sendText(logged.event)), ...details(waitOf(logged.event))];
    case 'ended':
      return [line(endText(logged.event)), ...details(endLimit(logged.event))];
    case 'queued':
    case 'other':
      return [line(otherText(logged.event))];
  }
}

function refusalFields(event: logEvents.RequestRefused): string {
  return joinFields({
    reason: event.reason,
    account: event.account,
    priority: event.priority,
    'priority of the route': event.routePriority,
  });
}

function refusalDetails(event: logEvents.RequestRefused): string[] {
  const {waitMs, ahead, predictedMs, retryMs} = event;
  const waited =
    waitMs === undefined
      ? []
      : [`waited ${waitMs} ms, ${ahead ?? 0} requests ahead of it`];
  const predicted =
    predictedMs === undefined ? [] : [`predicted wait ${predictedMs} ms`];
  const retry =
    retryMs === undefined ? [] : [`caller told to retry after ${retryMs} ms`];
  return [
    [...waited, ...predicted].join('; '),
    `limited by: ${refusalLimit(event)}`,
    ...retry,
  ];
}

/** What kept a refused request from starting. */
function refusalLimit(event: logEvents.RequestRefused): string {
  const {kind, reason, limitedBy, most, requests, limit, restMs} = event;
  if (kind === 'targets-limited') {
    return `${LIMIT_TEXTS['permit']} (${limit ?? 'unknown'} requests per second)`;
  }
  if (kind === 'targets-resting') {
    return `${LIMIT_TEXTS['cooldown']} (${restMs ?? 'unknown'} ms left)`;
  }
  if (kind !== 'overloaded') {
    return kind;
  }
  if (reason === 'full') {
    return 'the number or bytes of requests that this entry keeps waiting';
  }
  if (reason === 'share') {
    return LIMIT_TEXTS['share']!;
  }
  return limitedBy === undefined
    ? LIMIT_TEXTS['slots']!
    : `${LIMIT_TEXTS['group']} (${limitedBy}): ` +
        `${requests} requests, at most ${most}`;
}

function competitionDetails(competition: Competition): string[] {
  const {summary, refusedByPriority, refusedByAccount} = competition;
  const refused =
    'refused in the second before: ' +
    `${countsText(refusedByPriority, 'priority ')}; ` +
    countsText(refusedByAccount);
  if (summary === undefined) {
    return [
      'served instead: not known, no FC2013 of this entry in the second before',
      refused,
    ];
  }
  const {time, starts, accountStarts, waiting, oldestMs, byPriority} = summary;
  return [
    `served instead, in the second before ${clockTime(time)}: ` +
      `${countsText(Object.entries(starts), 'priority ')}; ` +
      countsText(Object.entries(accountStarts)),
    `waiting then: ${waiting}, the oldest for ${oldestMs} ms; ` +
      `${countsText(Object.entries(byPriority), 'priority ')}; ` +
      `most of account ${summary.account || 'none'} (${summary.accountWaiting})`,
    refused,
  ];
}

function sendText(event: logEvents.RequestSent): string {
  const {send, target, outcome, status, why} = event;
  return `send ${send} to ${target}: ${outcome}${joinFields({status, why})}`;
}

function waitOf({waitMs, queued, waitedFor}: logEvents.RequestSent): string[] {
  if (waitMs === undefined) {
    return [];
  }
  const limit = LIMIT_TEXTS[waitedFor ?? ''] ?? 'not known';
  return [
    `had waited ${waitMs} ms; ${queued ?? 0} requests waited when it came`,
    `limited by: ${limit}`,
  ];
}

function endText(event: logEvents.RequestEnded): string {
  const {outcome, status, target, sends, ms, firstMs, late} = event;
  const fields = {
    status,
    target: target || undefined,
    sends,
    ms,
    firstMs,
    late,
  };
  return `ended: ${outcome}${joinFields(fields)}`;
}

/** A refusal because of a closed group is logged with the end only. */
function endLimit({outcome}: logEvents.RequestEnded): string[] {
  return outcome === 'group-closed'
    ? [`limited by: ${LIMIT_TEXTS['closed-group']}`]
    : [];
}

function otherText(event: logEvents.OtherEvent): string {
  const fields = Object.entries(event).filter(
    ([name]) => !COMMON_FIELDS.has(name),
  );
  return `${event.text}${joinFields(Object.fromEntries(fields))}`;
}

/** `, name value` for each field that is known. */
function joinFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `, ${name} ${textOf(value)}`)
    .join('');
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value || 'none' : JSON.stringify(value);
}

/** Counts in falling order, the smaller ones together. */
function countsText(
  counts: Iterable<readonly [string, number]>,
  label = '',
): string {
  const sorted = [...counts].sort((a, b) => b[1] - a[1]);
  const rest = sorted
    .slice(MAX_ACCOUNTS)
    .reduce((sum, [, count]) => sum + count, 0);
  const shown = sorted.slice(0, MAX_ACCOUNTS).map(([name, count]) => {
    const isPriority = /^\d+(\/\d+)?$/.test(name);
    return `${isPriority ? label : ''}${name || 'none'}: ${count}`;
  });
  if (rest > 0) {
    shown.push(`other: ${rest}`);
  }
  return shown.join(', ') || 'none';
}

function details(texts: readonly string[]): string[] {
  return texts.filter(text => text !== '').map(text => DETAIL_INDENT + text);
}

function formatLine(time: number, process: string, text: string): string {
  return `${clockTime(time)}  ${process}  ${text}`;
}

function clockTime(time: number): string {
  return new Date(time).toISOString();
}
