import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import * as app from '../src/configuration/app';
import * as edit from '../src/configuration/edit';
import {accountKey} from '../src/configuration/types';
import {HttpObjectApi} from '../src/platform/client';
import {RpcClient} from '../src/rpc/client';
import * as fleets from './support/fleet';
import * as site from './support/site';

const feature = loadFeature(path.join(__dirname, 'configuration.feature'));
const OUTAGE_MS = 12_000;

let fleet: fleets.Fleet;
let rpc: RpcClient;
let acceptedVersion: number;
let results: Awaited<ReturnType<typeof edit.applyDocument>>[];
let monitor: RevisionMonitor;

afterEach(async () => {
  monitor.close();
  rpc.close();
  await fleet.close();
});

/** Polls every process's revision and records each decrease. */
class RevisionMonitor {
  readonly regressions: string[] = [];
  private readonly latest = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  start(): void {
    this.timer = setInterval(() => void this.poll(), 100);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** Forgets the revision of a restarting process, which may begin with an older one. */
  reset(id: string): void {
    this.latest.delete(id);
  }

  private async poll(): Promise<void> {
    for (const id of fleet.idsWithPrefix('')) {
      const revision = await revisionOf(id);
      const before = this.latest.get(id) ?? 0;
      if (revision !== undefined && revision > 0) {
        if (revision < before) {
          this.regressions.push(`${id}: ${before} to ${revision}`);
        }
        this.latest.set(id, Math.max(before, revision));
      }
    }
  }
}

/** The version of the account `alpha` that a process has in force. */
async function revisionOf(id: string): Promise<number | undefined> {
  const answer = await rpc.call(
    fleet.address(id),
    app.since,
    {version: 0},
    500,
  );
  const items = answer.ok ? answer.value.items : [];
  return items.find(item => item.key === accountKey('alpha'))?.version;
}

async function applyBurstChange(base: number, burst: number) {
  const store = new HttpObjectApi(fleet.platform);
  const document = site.makeAccount('alpha', {burst});
  const result = await edit.applyDocument(store, document, base, `op-${burst}`);
  store.close();
  return result;
}

async function currentVersion(): Promise<number> {
  const store = new HttpObjectApi(fleet.platform);
  const read = await store.get(accountKey('alpha'));
  store.close();
  return read.ok ? (read.value?.version ?? 0) : 0;
}

async function restartWithPeers(id: string): Promise<void> {
  const peers = fleet
    .idsWithPrefix('')
    .filter(other => other !== id)
    .map(other => fleet.address(other));
  await fleet.process(id).kill();
  monitor.reset(id);
  fleet.process(id).extraArgs = ['--peers', peers.join(',')];
  await fleet.restart(id);
}

const steps: StepDefinitions = ({given, when, then}) => {
  given('a running site with two entries', async () => {
    rpc = new RpcClient();
    monitor = new RevisionMonitor();
    fleet = await fleets.Fleet.start();
    monitor.start();
  });

  when(/^(\d+) operators change the same account/, async (count: string) => {
    const base = await currentVersion();
    results = await Promise.all(
      Array.from({length: Number(count)}, (_, index) =>
        applyBurstChange(base, 50 + index),
      ),
    );
  });

  when(
    "an operator's change takes effect and its response is lost",
    async () => {
      const base = await currentVersion();
      await fleet.setFaults(fleet.platform, {loseAnswers: 1});
      results = [await applyBurstChange(base, 77)];
    },
  );

  when(/^a change is accepted, one process is notified/, async () => {
    const base = await currentVersion();
    await fleet.setFaults(fleet.platform, {
      hideWatches: true,
      outageAfterWrites: 1,
    });
    const result = await applyBurstChange(base, 88);
    if (!result.ok) {
      throw new Error(JSON.stringify(result.error));
    }
    acceptedVersion = result.value.object.version;
    const item = {...result.value.object, value: result.value.object.value};
    const pushed = await rpc.call(fleet.address('rank-0'), app.push, {item});
    expect(pushed.ok).toBe(true);
    setTimeout(() => {
      void fleet
        .setFaults(fleet.platform, {outage: false, hideWatches: false})
        .catch(() => undefined);
    }, OUTAGE_MS).unref();
  });

  when(
    /^"(.*)" is killed and started again with its peers set$/,
    (id: string) => restartWithPeers(id),
  );

  when(/^a change is in force and the store then returns/, async () => {
    const base = await currentVersion();
    const result = await applyBurstChange(base, 99);
    acceptedVersion = result.ok ? result.value.object.version : 0;
    await fleets.eventually('the change is in force', async () => {
      const all = await Promise.all(fleet.idsWithPrefix('').map(revisionOf));
      return all.every(revision => revision === acceptedVersion);
    });
    await fleet.setFaults(fleet.platform, {staleRevision: base});
  });

  when(/^"(.*)" is frozen while a change is accepted/, async (id: string) => {
    fleet.process(id).freeze();
    const result = await applyBurstChange(await currentVersion(), 66);
    acceptedVersion = result.ok ? result.value.object.version : 0;
    await fleets.pause(4_000);
    fleet.process(id).thaw();
  });

  when('an operator sets a parameter outside its bounds', async () => {
    acceptedVersion = await currentVersion();
    results = [await applyBurstChange(acceptedVersion, 1_000_000)];
  });

  then(/^exactly one change is accepted and (\d+) get/, (losers: string) => {
    const won = results.flatMap(result => (result.ok ? [result.value] : []));
    const lost = results.flatMap(result => (result.ok ? [] : [result.error]));
    expect(won).toHaveLength(1);
    expect(lost).toHaveLength(Number(losers));
    for (const error of lost) {
      expect(error).toMatchObject({
        kind: 'edit-conflict',
        theirs: {changeId: won[0]!.changeId},
        ours: {kind: 'account', id: 'alpha'},
      });
    }
    acceptedVersion = won[0]!.object.version;
  });

  then('the operator is told that it is accepted', () => {
    const [result] = results;
    expect(result!.ok).toBe(true);
    acceptedVersion = result!.ok ? result!.value.object.version : 0;
  });

  then(
    /^the accepted change is in force at every process within (\d+)/,
    (seconds: string) =>
      fleets.eventually(
        'the change is in force at every process',
        async () => {
          const all = await Promise.all(
            fleet.idsWithPrefix('').map(revisionOf),
          );
          return all.every(revision => revision === acceptedVersion);
        },
        Number(seconds) * 1_000,
      ),
  );

  then('no process ever went back to an older revision', () => {
    expect(monitor.regressions).toEqual([]);
  });

  then(
    'the change is refused with the bounds and nothing changes',
    async () => {
      const [result] = results;
      expect(result!.ok ? null : result!.error).toMatchObject({
        kind: 'unsound',
        error: {
          kind: 'parameter-out-of-bounds',
          parameter: 'burst',
          max: 10_000,
        },
      });
      expect(await currentVersion()).toBe(acceptedVersion);
    },
  );
};

autoBindSteps([feature], [steps]);
