/** The `local` command: the whole system in one process. */
import type {Command} from 'commander';
import * as parse from '../configuration/parse';
import {addressSchema} from '../http/address';
import {makeLog} from '../observability/log';
import {addSettings, readSettings} from '../settings/command';
import type {SettingTable} from '../settings/types';
import * as v from 'valibot';
import {DEMO_DOCUMENTS} from './demo';
import {runUntilSignal} from './run';

const table = {
  listen: {
    schema: addressSchema,
    fallback: '127.0.0.1:8080',
    text: 'address of the entry',
    placeholder: 'ip:port',
  },
  logLevel: {
    schema: v.picklist(['info', 'warn', 'error'], 'info, warn or error'),
    fallback: 'warn',
    text: 'lowest level of events that are logged',
    placeholder: 'level',
  },
} as const satisfies SettingTable;

export function addLocal(program: Command): void {
  const command = program
    .command('local')
    .description('run all roles and stand-ins in one process on loopback');
  addSettings(command, table).action(async () => {
    const cfg = readSettings(command, table);
    const {LocalSite} = await import('./local-site');
    const log = makeLog('local', cfg.logLevel);
    const documents = parse.parseFile(DEMO_DOCUMENTS);
    if (!documents.ok) {
      return command.error(JSON.stringify(documents.error));
    }
    const site = new LocalSite(log, documents.value);
    await runUntilSignal(
      {
        open: async () => {
          const {entry, platform} = await site.open(cfg.listen);
          process.stdout.write(guideText(entry, platform));
        },
        stop: () => site.stop(),
      },
      log,
    );
  });
}

function guideText(entry: string, platform: string): string {
  return `ferrycleat runs: entry http://${entry}, platform stand-in ${platform}

A streamed chat completion:
  curl -N http://${entry}/v1/chat/completions \\
    -H 'authorization: Bearer local-demo-key' \\
    -H 'content-type: application/json' \\
    -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Why was my transfer held?"}]}'

A top-up that runs at most once, however often it is sent:
  KEY=$(curl -s http://${entry}/v1/request-keys \\
    -H 'authorization: Bearer local-demo-key' \\
    -d '{"service":"ledger"}' | sed 's/.*\\["//;s/".*//')
  curl -i http://${entry}/ledger/top-ups \\
    -H 'authorization: Bearer local-demo-key' \\
    -H 'content-type: application/json' \\
    -H "idempotency-key: $KEY" -d '{"phone":"5125550101","amount":10}'

Stop with Ctrl-C.
`;
}
