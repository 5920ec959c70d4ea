/**
 * Counters, and histograms by client account and request class. Accounts beyond
 * `MAX_ACCOUNTS` share the label `other`, which bounds the number of
 * histograms.
 */
// The library's index would also load its log reader and writer, which slows
// down each start.
import * as hdr from 'hdr-histogram-js/dist/Int32Histogram';

const MAX_ACCOUNTS = 64;
const OTHER_ACCOUNT = 'other';
const MICROSECONDS_PER_MS = 1_000;
const MAX_DURATION_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.95, 0.99] as const;

/** Kinds of recorded durations. */
export type Timing =
  | 'first_token'
  | 'between_tokens'
  | 'whole'
  | 'queue'
  | 'step_skew'
  | 'map_change'
  | 'reading'
  | 'arming'
  | 'pass'
  | 'predicted_pass';

/** One sample of the metrics page. */
export interface Sample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

export class Metrics {
  private readonly histograms = new Map<string, hdr.default>();
  private readonly labelsOf = new Map<string, Record<string, string>>();
  private readonly accounts = new Set<string>();
  private readonly counters = new Map<string, Sample & {value: number}>();
  private readonly observed = new Map<string, () => number>();

  recordDuration(
    timing: Timing,
    account: string,
    requestClass: string,
    ms: number,
  ): void {
    const accountLabel = this.accountLabel(account);
    const name = `${timing} ${accountLabel} ${requestClass}`;
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      histogram = new hdr.default(
        1,
        MAX_DURATION_MICROSECONDS,
        SIGNIFICANT_DIGITS,
      );
      this.histograms.set(name, histogram);
      this.labelsOf.set(name, {
        timing,
        account: accountLabel,
        class: requestClass,
      });
    }
    const microseconds = Math.round(Math.max(ms, 0) * MICROSECONDS_PER_MS);
    histogram.recordValue(Math.min(microseconds, MAX_DURATION_MICROSECONDS));
  }

  /** Increments the counter with this name and these labels by `by`. */
  count(name: string, labels: Record<string, string> = {}, by = 1): void {
    const key = `${name} ${JSON.stringify(labels)}`;
    const counter = this.counters.get(key);
    this.counters.set(key, {name, labels, value: (counter?.value ?? 0) + by});
  }

  /** Adds a value that is read whenever the metrics are. */
  observe(name: string, read: () => number): void {
    this.observed.set(name, read);
  }

  /** Sets the gauge with this name and these labels. */
  set(name: string, labels: Record<string, string>, value: number): void {
    const key = `${name} ${JSON.stringify(labels)}`;
    this.counters.set(key, {name, labels, value});
  }

  /** Records milliseconds spent in an admission queue. */
  recordQueueTime(account: string, ms: number): void {
    this.recordDuration('queue', account, 'all', ms);
  }

  countRefusal(account: string, kind: string): void {
    this.count('refusals_total', {account: this.accountLabel(account), kind});
  }

  /** Sum of a counter over all its labels. */
  total(name: string): number {
    let sum = 0;
    for (const counter of this.counters.values()) {
      sum += counter.name === name ? counter.value : 0;
    }
    return sum;
  }

  /** All counters and observed values, and the quantiles and counts of all histograms. */
  samples(): Sample[] {
    const samples: Sample[] = [...this.counters.values()];
    for (const [name, read] of this.observed) {
      samples.push({name, labels: {}, value: read()});
    }
    for (const [name, histogram] of this.histograms) {
      const {timing, ...labels} = this.labelsOf.get(name)!;
      const base = `${timing}_ms`;
      for (const quantile of QUANTILES) {
        const microseconds = histogram.getValueAtPercentile(quantile * 100);
        samples.push({
          name: base,
          labels: {...labels, quantile: String(quantile)},
          value: microseconds / MICROSECONDS_PER_MS,
        });
      }
      samples.push({
        name: `${base}_count`,
        labels,
        value: histogram.totalCount,
      });
    }
    return samples;
  }

  private accountLabel(account: string): string {
    if (this.accounts.has(account)) {
      return account;
    }
    if (this.accounts.size >= MAX_ACCOUNTS) {
      return OTHER_ACCOUNT;
    }
    this.accounts.add(account);
    return account;
  }
}
