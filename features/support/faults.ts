/**
 * What the soak tests have in common: faults, their schedule, which is drawn from
 * a seed before the run, and the report of the violations.
 */
import * as random from '../../src/random';
import {pause} from './fleet';
import type {TestProcess} from './process';

const SECOND_MS = 1_000;

export abstract class Fault {
  constructor(readonly kind: string) {}

  /** What the report says of it. */
  describe(id: string, durationMs: number): string {
    return `${this.kind} ${id} ${durationMs}`;
  }

  /** Resolves when the fault is over; `id`: the process, if it concerns one. */
  abstract inject(id: string, durationMs: number): Promise<void>;
}

type ProcessOf = (id: string) => TestProcess;

/** Ends a process with SIGKILL and starts it again after a quarter of the time. */
export class KillFault extends Fault {
  constructor(
    private readonly processOf: ProcessOf,
    /** Resolves when the process serves again. */
    private readonly whenReady: (id: string) => Promise<void> = async () =>
      undefined,
  ) {
    super('kill');
  }

  async inject(id: string, durationMs: number): Promise<void> {
    await this.processOf(id).kill();
    await pause(durationMs / 4);
    this.processOf(id).start();
    await this.whenReady(id);
  }
}

export class FreezeFault extends Fault {
  constructor(private readonly processOf: ProcessOf) {
    super('freeze');
  }

  async inject(id: string, durationMs: number): Promise<void> {
    const process = this.processOf(id);
    process.freeze();
    try {
      await pause(durationMs);
    } finally {
      process.thaw();
    }
  }
}

export class OutageFault extends Fault {
  constructor(
    private readonly setOutage: (isUnavailable: boolean) => Promise<void>,
  ) {
    super('outage');
  }

  async inject(id: string, durationMs: number): Promise<void> {
    await this.setOutage(true);
    try {
      await pause(durationMs);
    } finally {
      await this.setOutage(false);
    }
  }
}

/** Draws how long a fault lasts and the time until the next one. */
export interface Pace {
  durationMs(): number;
  pauseMs(): number;
}

interface Injection {
  readonly fault: Fault;
  readonly id: string;
  readonly durationMs: number;
  readonly pauseMs: number;
}

/** Called with the monotonic times of a fault, before and after it. */
export interface FaultListener {
  onFault(from: number): void;
  onFaultEnd(until: number): void;
}

/** The seed fixes the faults and their order, not the timing of the processes. */
export class FaultSchedule {
  private readonly injections: Injection[] = [];

  constructor(
    faults: readonly Fault[],
    ids: readonly string[],
    pace: Pace,
    private readonly totalMs: number,
  ) {
    let drawnMs = 0;
    while (drawnMs < totalMs) {
      const injection = {
        fault: random.pick(faults),
        id: random.pick(ids),
        durationMs: pace.durationMs(),
        pauseMs: pace.pauseMs(),
      };
      this.injections.push(injection);
      drawnMs += injection.pauseMs;
    }
  }

  /** Injects the faults one after another until the time is over. */
  async run(report: SoakReport, listener?: FaultListener): Promise<void> {
    const endAt = performance.now() + this.totalMs;
    for (const {fault, id, durationMs, pauseMs} of this.injections) {
      if (performance.now() >= endAt) {
        return;
      }
      report.addFault(fault.describe(id, durationMs));
      listener?.onFault(performance.now());
      await fault.inject(id, durationMs);
      listener?.onFaultEnd(performance.now());
      await pause(pauseMs);
    }
  }
}

/** Violations and faults, each with the seconds since the start of the run. */
export class SoakReport {
  readonly violations: string[] = [];
  readonly faults: string[] = [];
  private readonly startedAt = performance.now();

  /** `at`: monotonic time of the violation. */
  addViolation(text: string, at = performance.now()): void {
    this.violations.push(this.withTime(text, at));
  }

  addFault(text: string): void {
    this.faults.push(this.withTime(text, performance.now()));
  }

  private withTime(text: string, at: number): string {
    const seconds = (at - this.startedAt) / SECOND_MS;
    return `${seconds.toFixed(1)} s: ${text}`;
  }
}
