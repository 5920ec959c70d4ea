/** Runs an entry, sidecars and the stand-ins in one process on loopback. */
import type {Document} from '../configuration/types';
import * as edit from '../configuration/edit';
import {Log} from '../observability/log';
import {DEFAULT_LIMITS} from '../http/connection-limits';
import {HttpObjectApi} from '../platform/client';
import {Entry} from '../roles/entry';
import type {EntrySettings, SidecarSettings} from '../roles/settings';
import {Sidecar} from '../roles/sidecar';
import {EngineStandin} from '../../standins/engine';
import {PlatformStandin} from '../../standins/platform';
import {RunCounts, ServiceStandin} from '../../standins/service';

const HALLS = ['hall-a', 'hall-b', 'hall-c'] as const;
const FREE_PORT = '127.0.0.1:0';
const SERVICE_COUNT = 3;
const STOP_TIMEOUT_MS = 10_000;

/** Addresses of a running local site. */
export interface LocalAddresses {
  readonly entry: string;
  readonly platform: string;
}

export class LocalSite {
  private readonly platform = new PlatformStandin();
  private readonly engine = new EngineStandin();
  private readonly services: ServiceStandin[] = [];
  private readonly sidecars: Sidecar[] = [];
  private entry: Entry | undefined;

  constructor(
    private readonly log: Log,
    private readonly documents: readonly Document[],
  ) {}

  /** Starts all processes; resolves once requests can be served. */
  async open(listen: string): Promise<LocalAddresses> {
    const platform = await this.platform.open(FREE_PORT);
    await this.applyDocuments(platform);
    await this.openServices(platform);
    await this.openEngines(platform);
    const settings: EntrySettings = {
      ...commonSettings('entry-0', HALLS[0], platform),
      listen,
    };
    this.entry = new Entry(settings, this.log);
    const address = await this.entry.open();
    this.platform.addInstance({
      id: 'entry-0',
      hall: HALLS[0],
      role: 'entry',
      address,
      state: 'live',
      serves: '',
      group: '',
      rank: 0,
    });
    await this.entry.whenReady();
    await this.entry.whenTargetsKnown(SERVICE_COUNT + 1);
    return {entry: address, platform};
  }

  async stop(): Promise<void> {
    await this.entry?.stop();
    await Promise.all(this.sidecars.map(sidecar => sidecar.close()));
    await Promise.all(this.services.map(service => service.close()));
    await this.engine.close();
    await this.platform.close();
  }

  private async applyDocuments(platform: string): Promise<void> {
    const store = new HttpObjectApi(platform);
    for (const document of this.documents) {
      const applied = await edit.applyDocument(store, document, 0, 'local');
      if (!applied.ok) {
        this.log.event('configurationRejected', {error: applied.error});
      }
    }
    store.close();
  }

  private async openServices(platform: string): Promise<void> {
    const runs: RunCounts = new Map();
    for (let index = 0; index < SERVICE_COUNT; index += 1) {
      const standin = new ServiceStandin(runs);
      this.services.push(standin);
      const target = await standin.open(FREE_PORT);
      const id = `ledger-${index}`;
      await this.openSidecar(platform, id, HALLS[index]!, {
        target,
        serves: 'service/ledger',
      });
    }
  }

  private async openEngines(platform: string): Promise<void> {
    const targets = await this.engine.open(FREE_PORT);
    for (const [rank, target] of targets.entries()) {
      await this.openSidecar(platform, `rank-${rank}`, HALLS[0], {
        target,
        serves: 'model/assistant',
        group: 'group-0',
        rank,
      });
    }
  }

  private async openSidecar(
    platform: string,
    id: string,
    hall: string,
    targetSettings: Pick<SidecarSettings, 'target' | 'serves'> &
      Partial<SidecarSettings>,
  ): Promise<void> {
    const sidecar = new Sidecar(
      {
        ...commonSettings(id, hall, platform),
        listen: FREE_PORT,
        group: '',
        rank: 0,
        capacity: 64,
        maxQueued: 256,
        maxAnswerBytes: 8_000_000,
        bootId: '',
        ...targetSettings,
      },
      this.log,
    );
    this.sidecars.push(sidecar);
    const address = await sidecar.open();
    this.platform.addInstance({
      id,
      hall,
      role: 'sidecar',
      address,
      state: 'live',
      serves: targetSettings.serves,
      group: targetSettings.group ?? '',
      rank: targetSettings.rank ?? 0,
    });
  }
}

function commonSettings(id: string, hall: string, platform: string) {
  return {
    id,
    hall,
    platform,
    peers: [],
    logLevel: 'info' as const,
    stopPatienceMs: STOP_TIMEOUT_MS,
    ...DEFAULT_LIMITS,
    memoryMb: 0,
  };
}
