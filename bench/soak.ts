/**
 * Soak test: injects random failures into a fleet, or with `--site` into the
 * entries of a site, and reports violations.
 * `npm run soak -- [--site] --seed N --minutes M`.
 */
import {Command} from 'commander';
import * as chaos from '../features/support/chaos';
import * as random from '../src/random';
import {SiteReport, SoakSite} from './soak-site';

const MINUTE_MS = 60_000;
const SIGNALS = ['SIGINT', 'SIGTERM'] as const;

interface Options {
  readonly site: boolean;
  readonly seed: number;
  readonly minutes: number;
}

async function main(): Promise<void> {
  const program = new Command('soak')
    .option('--site', 'run the entries of a site instead of a fleet', false)
    .requiredOption('--seed <number>', 'seed of the schedule', Number)
    .requiredOption('--minutes <number>', 'how long, 60 at most', Number);
  program.parse(process.argv);
  const {site, seed, minutes} = program.opts<Options>();
  random.seed(seed);
  const runMs = Math.min(minutes, 60) * MINUTE_MS;
  const report = site ? await runSite(runMs) : await runFleet(runMs);
  process.stdout.write(JSON.stringify(report, null, 2) + '\n');
  process.exitCode = report.violations.length > 0 ? 1 : 0;
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
  // Processes would outlive a run that is interrupted, also suspended ones.
  process.once('exit', () => site.killAll());
  SIGNALS.forEach(signal =>
    process.once(signal, () => {
      // eslint-disable-next-line n/no-process-exit
      process.exit(1);
    }),
  );
  try {
    await site.open();
    return await site.run(runMs);
  } finally {
    await site.close();
  }
}

void main();
