import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import * as app from '../src/configuration/rpc-methods';
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
let accepted: number;
let ends: Awaited<ReturnType<typeof edit.applyDocument>>[];
let watch: RevisionWatch;

afterEach(async () => {
  watch.close();
  rpc.close();
  await fleet.close();
});

/** Reads every process's revision all the time; notes any that falls. */
class RevisionWatch {
  readonly falls: string[] = [];
  private readonly latest = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  start(): void {
    this.timer = setInterval(() => void this.read(), 100);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** A process that starts again has seen nothing yet. */
  forget(id: string): void {
    this.latest.delete(id);
  }

  private async read(): Promise<void> {
    for (const id of fleet.idsOf('')) {
      const revision = await revisionOf(id);
      const before = this.latest.get(id) ?? 0;
      if (revision !== undefined && revision > 0) {
        if (revision < before) {
          this.falls.push(`${id}: ${before} to ${revision}`);
        }
        this.latest.set(id, Math.max(before, revision));
      }
    }
  }
}

/** The version of alpha's account that a process has in force. */
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

async function applyFrom(base: number, burst: number) {
  const store = new HttpObjectApi(fleet.platform);
  const document = site.makeAccount('alpha', {burst});
  const end = await edit.applyDocument(store, document, base, `op-${burst}`);
  store.close();
  return end;
}

async function currentVersion(): Promise<number> {
  const store = new HttpObjectApi(fleet.platform);
  const read = await store.get(accountKey('alpha'));
  store.close();
  return read.ok ? (read.value?.version ?? 0) : 0;
}

async function restartWithPeers(id: string): Promise<void> {
  const peers = fleet
    .idsOf('')
    .filter(other => other !== id)
    .map(other => fleet.address(other));
  await fleet.process(id).kill();
  watch.forget(id);
  fleet.process(id).extraArgs = ['--peers', peers.join(',')];
  await fleet.restart(id);
}

const steps: StepDefinitions = ({given, when, then}) => {
  given('a running site with two entries', async () => {
    rpc = new RpcClient();
    watch = new RevisionWatch();
    fleet = await fleets.Fleet.start();
    watch.start();
  });

  when(/^(\d+) operators change the same account/, async (count: string) => {
    const base = await currentVersion();
    ends = await Promise.all(
      Array.from({length: Number(count)}, (_, at) => applyFrom(base, 50 + at)),
    );
  });

  when("an operator's change takes effect and its answer is lost", async () => {
    const base = await currentVersion();
    await fleet.setFaults(fleet.platform, {loseAnswers: 1});
    ends = [await applyFrom(base, 77)];
  });

  when(/^a change is accepted, one process is told/, async () => {
    const base = await currentVersion();
    await fleet.setFaults(fleet.platform, {
      hideWatches: true,
      outageAfterWrites: 1,
    });
    const end = await applyFrom(base, 88);
    if (!end.ok) {
      throw new Error(JSON.stringify(end.error));
    }
    accepted = end.value.object.version;
    const item = {...end.value.object, value: end.value.object.value};
    const told = await rpc.call(fleet.address('rank-0'), app.push, {item});
    expect(told.ok).toBe(true);
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

  when(/^a change is in force and the store then answers/, async () => {
    const base = await currentVersion();
    const end = await applyFrom(base, 99);
    accepted = end.ok ? end.value.object.version : 0;
    await fleets.eventually('it is in force', async () => {
      const all = await Promise.all(fleet.idsOf('').map(revisionOf));
      return all.every(revision => revision === accepted);
    });
    await fleet.setFaults(fleet.platform, {staleRevision: base});
  });

  when(/^"(.*)" is frozen while a change is accepted/, async (id: string) => {
    fleet.process(id).freeze();
    const end = await applyFrom(await currentVersion(), 66);
    accepted = end.ok ? end.value.object.version : 0;
    await fleets.pause(4_000);
    fleet.process(id).thaw();
  });

  when('an operator sets a parameter outside its bounds', async () => {
    accepted = await currentVersion();
    ends = [await applyFrom(accepted, 1_000_000)];
  });

  then(/^exactly one change is accepted and (\d+) see/, (losers: string) => {
    const won = ends.flatMap(end => (end.ok ? [end.value] : []));
    const lost = ends.flatMap(end => (end.ok ? [] : [end.error]));
    expect(won).toHaveLength(1);
    expect(lost).toHaveLength(Number(losers));
    for (const error of lost) {
      expect(error).toMatchObject({
        kind: 'edit-conflict',
        theirs: {changeId: won[0]!.changeId},
        ours: {kind: 'account', id: 'alpha'},
      });
    }
    accepted = won[0]!.object.version;
  });

  then('the operator is told that it is accepted', () => {
    const [end] = ends;
    expect(end!.ok).toBe(true);
    accepted = end!.ok ? end!.value.object.version : 0;
  });

  then(
    /^the accepted change is in force at every process within (\d+)/,
    (seconds: string) =>
      fleets.eventually(
        'every process has it in force',
        async () => {
          const all = await Promise.all(fleet.idsOf('').map(revisionOf));
          return all.every(revision => revision === accepted);
        },
        Number(seconds) * 1_000,
      ),
  );

  then('no process ever saw its revision fall', () => {
    expect(watch.falls).toEqual([]);
  });

  then(
    'the change is refused with the bounds and nothing changes',
    async () => {
      const [end] = ends;
      expect(end!.ok ? null : end!.error).toMatchObject({
        kind: 'unsound',
        error: {
          kind: 'parameter-out-of-bounds',
          parameter: 'burst',
          max: 10_000,
        },
      });
      expect(await currentVersion()).toBe(accepted);
    },
  );
};

autoBindSteps([feature], [steps]);
