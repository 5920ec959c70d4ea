/**
 * Soak test: injects random failures into a fleet, or with `--site` into the
 * entries of a site, with `--stops` stops them as planned, or with `--callers` sends
 * them crowds of callers that don't behave, and reports violations.
 * `npm run soak -- [--site | --stops | --callers] --seed N --minutes M [--entries N]`.
 */
import {Command} from 'commander';
import * as chaos from '../features/support/chaos';
import * as random from '../src/random';
import {CallerSoak} from './caller-soak';
import {SiteReport, SoakSite} from './soak-site';
import {StopSoak} from './stop-soak';

const MINUTE_MS = 60_000;
const SIGNALS = ['SIGINT', 'SIGTERM'] as const;

interface Options {
  readonly site: boolean;
  readonly stops: boolean;
  readonly callers: boolean;
  readonly entries: number;
  readonly seed: number;
  readonly minutes: number;
}

async function main(): Promise<void> {
  const program = new Command('soak')
    .option('--site', 'run the entries of a site instead of a fleet', false)
    .option('--stops', 'stop the entries of a site as planned', false)
    .option('--callers', "send crowds of callers that don't behave", false)
    .option('--entries <number>', 'with --stops or --callers', Number, 3)
    .requiredOption('--seed <number>', 'seed of the schedule', Number)
    .requiredOption('--minutes <number>', 'how long, 60 at most', Number);
  program.parse(process.argv);
  const {site, stops, callers, entries, seed, minutes} =
    program.opts<Options>();
  random.seed(seed);
  const runMs = Math.min(minutes, 60) * MINUTE_MS;
  const report = await runKind({site, stops, callers}, entries, runMs);
  process.stdout.write(JSON.stringify(report, null, 2) + '\n');
  process.exitCode = report.violations.length > 0 ? 1 : 0;
}

function runKind(
  {site, stops, callers}: Pick<Options, 'site' | 'stops' | 'callers'>,
  entries: number,
  durationMs: number,
): Promise<{readonly violations: readonly string[]}> {
  if (callers) {
    const soak = new CallerSoak({entries, durationMs});
    return runToEnd(soak, () => soak.run());
  }
  if (stops) {
    const soak = new StopSoak({entries, durationMs});
    return runToEnd(soak, () => soak.run());
  }
  return site ? runSite(durationMs) : runFleet(durationMs);
}

async function runFleet(runMs: number): Promise<chaos.ChaosReport> {
  const fleet = await chaos.startChaosFleet();
  try {
    return await new chaos.ChaosRun(fleet).run(runMs);
  } finally {
    await fleet.close();
  }
}

async function runSite(runMs: number): Promise<SiteReport> {
  const site = new SoakSite();
  return runToEnd(site, () => site.run(runMs));
}

/** Processes would outlive a run that is interrupted, also suspended ones. */
async function runToEnd<T>(
  site: {open(): Promise<void>; close(): Promise<void>; killAll(): void},
  run: () => Promise<T>,
): Promise<T> {
  process.once('exit', () => site.killAll());
  SIGNALS.forEach(signal =>
    process.once(signal, () => {
      // eslint-disable-next-line n/no-process-exit
      process.exit(1);
    }),
  );
  try {
    await site.open();
    return await run();
  } finally {
    await site.close();
  }
}

void main();
