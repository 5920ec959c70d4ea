/** Collects the course of one request from log lines of any processes. Pure. */
import * as logEvents from './log-events';

/**
 * Time before a refusal in which summaries of the queue count: they follow each
 * other by a second and up to a tick of 60 ms.
 */
const SUMMARY_WINDOW_MS = 1_100;
/** Time before a refusal in which other refusals count. */
const REFUSAL_WINDOW_MS = 1_000;
/** `kind` of a refusal under load. */
const OVERLOADED = 'overloaded';

/** What an entry did for the service in the second before a refusal. */
export interface Competition {
  /** Last summary of the queue; undefined: none was logged. */
  readonly summary: logEvents.AdmissionQueued | undefined;
  /** Other requests refused under load, by priority and by account. */
  readonly refusedByPriority: ReadonlyMap<string, number>;
  readonly refusedByAccount: ReadonlyMap<string, number>;
}

export interface CourseStep {
  readonly logged: logEvents.LogEvent;
  /** Of a refusal under load. */
  readonly competition?: Competition;
}

/** The events of one request, in order of time. */
export interface Course {
  readonly request: string;
  readonly steps: readonly CourseStep[];
  readonly unreadableLines: number;
}

type ContextEvent = logEvents.AdmissionQueued | logEvents.RequestRefused;

export class CourseReader {
  private readonly steps: CourseStep[] = [];
  /** By process: its last events that a refusal is compared with. */
  private readonly recent = new Map<string, ContextEvent[]>();
  private unreadableLines = 0;

  constructor(private readonly request: string) {}

  /** Lines of one process must come in the order in which it wrote them. */
  addLine(line: string): void {
    if (line.trim() === '') {
      return;
    }
    const logged = logEvents.readLine(line);
    if (logged === undefined) {
      this.unreadableLines += 1;
    } else if (logged.kind === 'queued') {
      this.remember(logged.event);
    } else if (logged.event.request === this.request) {
      this.steps.push(this.stepOf(logged));
    } else if (logged.kind === 'refused' && logged.event.kind === OVERLOADED) {
      this.remember(logged.event);
    }
  }

  /** What was found so far. */
  course(): Course {
    const {request, unreadableLines} = this;
    const steps = [...this.steps].sort(
      (a, b) => a.logged.event.time - b.logged.event.time,
    );
    return {request, steps, unreadableLines};
  }

  private stepOf(logged: logEvents.LogEvent): CourseStep {
    return logged.kind === 'refused' && logged.event.kind === OVERLOADED
      ? {logged, competition: this.competitionOf(logged.event)}
      : {logged};
  }

  private remember(event: ContextEvent): void {
    const recent = this.recent.get(event.process) ?? [];
    this.recent.set(event.process, recent);
    recent.push(event);
    while (recent[0]!.time < event.time - SUMMARY_WINDOW_MS) {
      recent.shift();
    }
  }

  private competitionOf(refusal: logEvents.RequestRefused): Competition {
    let summary: logEvents.AdmissionQueued | undefined;
    const refusedByPriority = new Map<string, number>();
    const refusedByAccount = new Map<string, number>();
    for (const event of this.recent.get(refusal.process) ?? []) {
      const agoMs = refusal.time - event.time;
      if (event.service !== refusal.service) {
        continue;
      }
      if ('waiting' in event) {
        summary = agoMs <= SUMMARY_WINDOW_MS ? event : summary;
      } else if (agoMs <= REFUSAL_WINDOW_MS && event.priority !== undefined) {
        increment(refusedByPriority, String(event.priority));
        increment(refusedByAccount, event.account ?? '');
      }
    }
    return {summary, refusedByPriority, refusedByAccount};
  }
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
