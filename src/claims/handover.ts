/**
 * A planned stop gives the slots, with what became of their keys, to another
 * sidecar of the service: surrender, settle, send the record, write the
 * store, tell the successor. Whatever fails on the way costs a wait until the
 * cell has ended, never a second run.
 */
import {Log} from '../observability/log';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './rpc-methods';
import type {SlotManager} from './slot-manager';
import * as keys from './keys';
import type {KeyedRuns} from './keyed-runs';
import type {Owner} from './types';

const RECORDS_PER_MESSAGE = 2_000;
const TRANSFER_TIMEOUT_MS = 5_000;
const MAX_WRITE_ATTEMPTS = 3;

/** Gives all slots of a keeper away. Answers how many were taken over. */
export async function handOverAll(
  keeper: SlotManager,
  runs: KeyedRuns,
  service: string,
  slots: number,
  candidates: readonly string[],
  rpc: RpcClient,
  log: Log,
): Promise<number> {
  const successors = await findSuccessors(candidates, service, rpc);
  let handed = 0;
  for (const [index, slot] of keeper.ownSlots().entries()) {
    keeper.surrender(slot);
    await runs.waitForRuns(slot);
    const owner = successors[index % Math.max(successors.length, 1)];
    if (owner === undefined) {
      continue;
    }
    const done = await handOverSlot(
      keeper,
      runs,
      service,
      slot,
      slots,
      owner,
      rpc,
    );
    if (done) {
      handed += 1;
      log.event('cellHandedOver', {slot, successor: owner.targetId});
    }
  }
  return handed;
}

async function findSuccessors(
  candidates: readonly string[],
  service: string,
  rpc: RpcClient,
): Promise<Owner[]> {
  const answers = await Promise.all(
    candidates.map(address => rpc.call(address, app.successor, {service})),
  );
  return answers.flatMap(answer =>
    answer.ok && answer.value.owner !== null ? [answer.value.owner] : [],
  );
}

async function handOverSlot(
  keeper: SlotManager,
  runs: KeyedRuns,
  service: string,
  slot: number,
  slots: number,
  successor: Owner,
  rpc: RpcClient,
): Promise<boolean> {
  const own = keeper
    .listCells()
    .filter(
      entry =>
        entry.slot === slot &&
        entry.cell.owner.incarnation === keeper.self.incarnation,
    )
    .map(entry => entry.cell);
  const records = own
    .flatMap(cell => runs.records.mintedWithin(cell.from, cell.until))
    .filter(record => slotOfRecord(record.key, slots) === slot);
  const froms = own.map(cell => cell.from);
  for (let at = 0; at <= records.length; at += RECORDS_PER_MESSAGE) {
    const isLast = at + RECORDS_PER_MESSAGE > records.length;
    const sent = await rpc.call(
      successor.address,
      app.receive,
      {
        service,
        slot,
        // Named with the last part only: a part of a record is no record.
        froms: isLast ? froms : [],
        records: records.slice(at, at + RECORDS_PER_MESSAGE),
      },
      TRANSFER_TIMEOUT_MS,
    );
    if (!sent.ok || !sent.value.accepted) {
      return false;
    }
  }
  for (let tries = 0; tries < MAX_WRITE_ATTEMPTS; tries += 1) {
    const written = await keeper.handOver(slot, successor);
    if (written.ok || written.error.kind === 'not-owner') {
      break;
    }
  }
  const told = await rpc.call(successor.address, app.activate, {
    service,
    slot,
  });
  return told.ok && told.value.active;
}

function slotOfRecord(key: string, slots: number): number {
  const parsed = keys.parseKey(key);
  return parsed === undefined ? -1 : keys.slotOf(parsed, slots);
}

/** Binds the successor's side. `accepting` is false once it leaves itself. */
export function serveHandover(
  server: RpcServer,
  service: string,
  keeper: SlotManager,
  runs: KeyedRuns,
  accepting: () => boolean,
): void {
  server.handle(app.successor, params => ({
    owner: params.service === service && accepting() ? keeper.self : null,
  }));
  server.handle(app.receive, params => {
    if (params.service !== service || !accepting()) {
      return {accepted: false};
    }
    for (const record of params.records) {
      if (runs.records.find(record.account, record.key) === undefined) {
        runs.records.set(record);
      }
    }
    params.froms.forEach(from => keeper.markRecordsHeld(params.slot, from));
    return {accepted: true};
  });
  server.handle(app.activate, async params => {
    if (params.service !== service) {
      return {active: false};
    }
    await keeper.refresh(params.slot);
    return {active: keeper.ownSlots().includes(params.slot)};
  });
}
