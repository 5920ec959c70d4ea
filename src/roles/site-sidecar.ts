/** The sidecar of a site: speaks for the rank beside it. */
import * as http from 'node:http';
import * as experts from '../experts/app';
import {RankAgent} from '../experts/rank-agent';
import type {Engine, RankReading} from '../experts/types';
import * as httpServer from '../http/server';
import type {Log} from '../observability/log';
import {RpcServer} from '../rpc/server';
import type {SiteSettings} from './site-settings';

export class SiteSidecar {
  private readonly rpc: RpcServer;
  private readonly agent: RankAgent;
  private server: http.Server | undefined;

  constructor(
    private readonly cfg: SiteSettings,
    private readonly engine: Engine,
    private readonly log: Log,
  ) {
    this.rpc = new RpcServer(log);
    this.agent = new RankAgent(engine, log);
  }

  async open(): Promise<void> {
    this.rpc.handle(experts.read, async ({term, counts, held}) => {
      const read = await this.agent.read(term, {counts, held});
      if (read === 'deposed') {
        return {kind: 'deposed' as const};
      }
      return read === undefined
        ? {kind: 'no-rank' as const}
        : {kind: 'reading' as const, reading: toWire(read)};
    });
    this.rpc.handle(experts.order, async ({term, order}) => ({
      result: await this.agent.order(term, order),
    }));
    const server = http.createServer((req, res) => {
      this.rpc.answer(req, res).catch(err => {
        this.log.event('requestFault', {error: String((err as Error).stack)});
        res.destroy();
      });
    });
    this.server = await httpServer.bind(
      `${this.cfg.host}:${this.cfg.rpcPort}`,
      server,
    );
    this.log.event('processReady', {id: this.cfg.id, hall: this.cfg.hall});
  }

  /** New settings are in the file; those of a sidecar hold for its life. */
  reload(): void {
    this.log.event('settingsReloaded', {id: this.cfg.id});
  }

  /** Nothing is in flight here that a planner would not ask for again. */
  async stop(): Promise<void> {
    this.log.event('processStopping', {inFlight: 0});
    this.server?.close();
    this.server?.closeAllConnections();
    this.engine.close();
  }
}

function toWire(reading: RankReading) {
  const {state, counts, held} = reading;
  return {
    state,
    counts: counts === undefined ? undefined : [...counts],
    held:
      held === undefined
        ? undefined
        : {
            version: held.version,
            experts: held.experts.map(experts_ => [...experts_]),
          },
  };
}
