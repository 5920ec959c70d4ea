/** `npm run soak -- --seed N --minutes M`: failures over a whole fleet. */
import {Command} from 'commander';
import * as chaos from '../features/support/chaos';
import * as random from '../src/random';

const MINUTE_MS = 60_000;

async function main(): Promise<void> {
  const program = new Command('soak')
    .requiredOption('--seed <number>', 'seed of the schedule', Number)
    .requiredOption('--minutes <number>', 'how long, 60 at most', Number);
  program.parse(process.argv);
  const {seed, minutes} = program.opts<{seed: number; minutes: number}>();
  random.seed(seed);
  const fleet = await chaos.startChaosFleet();
  try {
    const runMs = Math.min(minutes, 60) * MINUTE_MS;
    const report = await new chaos.ChaosRun(fleet).run(runMs);
    process.stdout.write(JSON.stringify(report, null, 2) + '\n');
    process.exitCode = report.violations.length > 0 ? 1 : 0;
  } finally {
    await fleet.close();
  }
}

void main();
