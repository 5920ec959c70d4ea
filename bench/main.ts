/** The benches: `npm run bench -- <name> [--json] [--seed n]`. */
import {Command} from 'commander';
import * as random from '../src/random';

/** One bench: runs, and answers what `--json` prints. */
export interface Bench {
  readonly name: string;
  readonly text: string;
  run(): Promise<unknown>;
}

const DEFAULT_SEED = 7;

/** Benches by name, each loaded when asked for. */
const BENCHES: Readonly<Record<string, () => Promise<Bench>>> = {
  processor: async () => (await import('./processor')).bench,
  planning: async () => (await import('./planning')).bench,
  placement: async () => (await import('./placement')).bench,
  routing: async () => (await import('./routing')).bench,
  overload: async () => (await import('./overload')).bench,
  membership: async () => (await import('./membership')).bench,
  hop: async () => (await import('./hop')).bench,
  recovery: async () => (await import('./recovery')).bench,
  capacity: async () => (await import('./capacity')).bench,
};

async function main(): Promise<void> {
  const program = new Command('bench')
    .argument('<name>', Object.keys(BENCHES).join(', '))
    .option('--json', 'print one JSON document')
    .option('--seed <number>', 'seed of all random numbers', Number);
  program.parse(process.argv);
  const [name] = program.args;
  const load = BENCHES[name ?? ''];
  if (load === undefined) {
    program.error(`no bench ${name}; there are ${Object.keys(BENCHES)}`);
  }
  const options = program.opts<{json?: boolean; seed?: number}>();
  const seed = options.seed ?? DEFAULT_SEED;
  random.seed(seed);
  const bench = await load();
  const result = await bench.run();
  const command = `npm run bench -- ${bench.name} --seed ${seed}`;
  const document = {command, seed, result};
  const space = options.json ? undefined : 2;
  process.stdout.write(JSON.stringify(document, null, space) + '\n');
}

void main();
