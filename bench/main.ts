/** Runs a benchmark: `npm run bench -- <name> [--json] [--seed n]`. */
import {Command} from 'commander';
import * as random from '../src/random';

export interface Benchmark {
  readonly name: string;
  readonly description: string;
  /** Returns the result to print as JSON. */
  run(): Promise<unknown>;
}

const DEFAULT_SEED = 7;

/** Loaders by name, so that only the selected benchmark is loaded. */
const BENCHMARKS: Readonly<Record<string, () => Promise<Benchmark>>> = {
  processor: async () => (await import('./processor')).benchmark,
  planning: async () => (await import('./planning')).benchmark,
  placement: async () => (await import('./placement')).benchmark,
  routing: async () => (await import('./routing')).benchmark,
  overload: async () => (await import('./overload')).benchmark,
  membership: async () => (await import('./membership')).benchmark,
  hop: async () => (await import('./hop')).benchmark,
  recovery: async () => (await import('./recovery')).benchmark,
  capacity: async () => (await import('./capacity')).benchmark,
  admission: async () => (await import('./admission')).benchmark,
};

async function main(): Promise<void> {
  const program = new Command('bench')
    .argument('<name>', Object.keys(BENCHMARKS).join(', '))
    .option('--json', 'print one JSON document')
    .option('--seed <number>', 'seed of all random numbers', Number);
  program.parse(process.argv);
  const [name] = program.args;
  const load = BENCHMARKS[name ?? ''];
  if (load === undefined) {
    program.error(
      `unknown benchmark ${name}; expected one of ${Object.keys(BENCHMARKS)}`,
    );
  }
  const options = program.opts<{json?: boolean; seed?: number}>();
  const seed = options.seed ?? DEFAULT_SEED;
  random.seed(seed);
  const benchmark = await load();
  const result = await benchmark.run();
  const command = `npm run bench -- ${benchmark.name} --seed ${seed}`;
  const document = {command, seed, result};
  const space = options.json ? undefined : 2;
  process.stdout.write(JSON.stringify(document, null, space) + '\n');
}

void main();
