/** The commands that run a process: entry, sidecar, stand-ins. */
import type {Command} from 'commander';
import * as v from 'valibot';
import {addressSchema} from '../http/address';
import {makeLog} from '../observability/log';
import * as tables from '../roles/settings';
import {addSettings, readSettings} from '../settings/command';
import * as settings from '../settings/types';
import {runUntilSignal} from './run';

/** Adds `entry`. */
export function addEntry(program: Command): void {
  const command = program
    .command('entry')
    .description('serve callers: authenticate, route, resume, limit');
  addSettings(command, tables.entryTable).action(async () => {
    const cfg = readSettings(command, tables.entryTable);
    const {Entry} = await import('../roles/entry');
    const log = makeLog(cfg.id, cfg.logLevel);
    await runUntilSignal(new Entry(cfg, log), log);
  });
}

/** Adds `sidecar`. */
export function addSidecar(program: Command): void {
  const command = program
    .command('sidecar')
    .description('stand beside one target: admit, run at most once, drain');
  addSettings(command, tables.sidecarTable).action(async () => {
    const cfg = readSettings(command, tables.sidecarTable);
    const {Sidecar} = await import('../roles/sidecar');
    const log = makeLog(cfg.id, cfg.logLevel);
    await runUntilSignal(new Sidecar(cfg, log), log);
  });
}

const listenTable = {
  listen: {
    schema: addressSchema,
    text: 'address to listen on',
    placeholder: 'ip:port',
  },
} as const satisfies settings.SettingTable;

const engineTable = {
  ...listenTable,
  ranks: {
    schema: settings.wholeNumber(1, 256),
    fallback: '4',
    text: 'ranks of the group; rank k listens k ports above',
    placeholder: 'count',
  },
  stepMs: {
    schema: settings.wholeNumber(1, 10_000),
    fallback: '5',
    text: 'shortest time of a step',
    placeholder: 'ms',
  },
  checksFences: {
    schema: v.pipe(
      v.picklist(['true', 'false'], 'true or false'),
      v.transform(text => text === 'true'),
    ),
    fallback: 'true',
    text: 'whether the engine refuses orders with an old fence',
    placeholder: 'true|false',
  },
} as const satisfies settings.SettingTable;

/** Adds `standin platform|engine|service`. */
export function addStandins(program: Command): void {
  const parent = program
    .command('standin')
    .description('stand-ins of the outside systems, for trials and tests');
  addPlatform(parent);
  addEngine(parent);
  addService(parent);
}

function addPlatform(parent: Command): void {
  const command = parent
    .command('platform')
    .description("the platform's object API and list of instances");
  addSettings(command, listenTable).action(async () => {
    const cfg = readSettings(command, listenTable);
    const {PlatformStandin} = await import('../../standins/platform');
    const standin = new PlatformStandin();
    await runStandin('standin-platform', {
      open: () => standin.open(cfg.listen),
      close: () => standin.close(),
    });
  });
}

function addEngine(parent: Command): void {
  const command = parent
    .command('engine')
    .description('a group of model ranks in lock-step');
  addSettings(command, engineTable).action(async () => {
    const cfg = readSettings(command, engineTable);
    const engine = await import('../../standins/engine');
    const {ranks, stepMs, checksFences} = cfg;
    const options = {
      ...engine.DEFAULT_ENGINE_OPTIONS,
      ranks,
      stepMs,
      checksFences,
    };
    const standin = new engine.EngineStandin(options);
    await runStandin('standin-engine', {
      open: () => standin.open(cfg.listen),
      close: () => standin.close(),
    });
  });
}

function addService(parent: Command): void {
  const command = parent
    .command('service')
    .description('a plain service: a ledger that counts its runs');
  addSettings(command, listenTable).action(async () => {
    const cfg = readSettings(command, listenTable);
    const {ServiceStandin} = await import('../../standins/service');
    const standin = new ServiceStandin();
    await runStandin('standin-service', {
      open: () => standin.open(cfg.listen),
      close: () => standin.close(),
    });
  });
}

interface Standin {
  open(): Promise<unknown>;
  close(): Promise<void>;
}

async function runStandin(name: string, standin: Standin): Promise<void> {
  const log = makeLog(name, 'info');
  await runUntilSignal(
    {
      open: async () => {
        const address = await standin.open();
        log.event('processReady', {id: name, address});
      },
      stop: () => standin.close(),
    },
    log,
  );
}
