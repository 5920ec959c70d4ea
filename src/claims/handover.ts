/**
 * Hands over slots and their key records to other sidecars of the service when
 * a sidecar stops: surrender the slot, wait for its runs, send the records,
 * write the store, activate the successor. If a step fails, the slot is not
 * served until its cell ends; no key runs twice.
 */
import {Log} from '../observability/log';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './app';
import type {SlotManager} from './slot-manager';
import * as keys from './keys';
import type {KeyedRuns} from './keyed-runs';
import type {Owner} from './types';

const RECORDS_PER_MESSAGE = 2_000;
const TRANSFER_TIMEOUT_MS = 5_000;
const MAX_WRITE_ATTEMPTS = 3;

/** Hands over all own slots; returns the number that successors took over. */
export async function handOverAll(
  manager: SlotManager,
  runs: KeyedRuns,
  service: string,
  slotCount: number,
  candidates: readonly string[],
  rpc: RpcClient,
  log: Log,
): Promise<number> {
  const successors = await findSuccessors(candidates, service, rpc);
  let handedOver = 0;
  for (const [index, slot] of manager.ownSlots().entries()) {
    manager.surrender(slot);
    await runs.waitForRuns(slot);
    const owner = successors[index % Math.max(successors.length, 1)];
    if (owner === undefined) {
      continue;
    }
    const done = await handOverSlot(
      manager,
      runs,
      service,
      slot,
      slotCount,
      owner,
      rpc,
    );
    if (done) {
      handedOver += 1;
      log.event('cellHandedOver', {slot, successor: owner.targetId});
    }
  }
  return handedOver;
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
  manager: SlotManager,
  runs: KeyedRuns,
  service: string,
  slot: number,
  slotCount: number,
  successor: Owner,
  rpc: RpcClient,
): Promise<boolean> {
  const ownCells = manager
    .listCells()
    .filter(
      entry =>
        entry.slot === slot &&
        entry.cell.owner.incarnation === manager.self.incarnation,
    )
    .map(entry => entry.cell);
  const records = ownCells
    .flatMap(cell => runs.records.mintedWithin(cell.from, cell.until))
    .filter(record => slotOfRecord(record.key, slotCount) === slot);
  const froms = ownCells.map(cell => cell.from);
  for (let at = 0; at <= records.length; at += RECORDS_PER_MESSAGE) {
    const isLast = at + RECORDS_PER_MESSAGE > records.length;
    const sent = await rpc.call(
      successor.address,
      app.receive,
      {
        service,
        slot,
        // Sent with the last message only, once all records have been received.
        froms: isLast ? froms : [],
        records: records.slice(at, at + RECORDS_PER_MESSAGE),
      },
      TRANSFER_TIMEOUT_MS,
    );
    if (!sent.ok || !sent.value.accepted) {
      return false;
    }
  }
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
    const written = await manager.handOver(slot, successor);
    if (written.ok || written.error.kind === 'not-owner') {
      break;
    }
  }
  const activated = await rpc.call(successor.address, app.activate, {
    service,
    slot,
  });
  return activated.ok && activated.value.active;
}

function slotOfRecord(key: string, slotCount: number): number {
  const parsed = keys.parseKey(key);
  return parsed === undefined ? -1 : keys.slotOf(parsed, slotCount);
}

/**
 * Registers the successor's RPC methods. `accepting` is false while it leaves.
 */
export function serveHandover(
  server: RpcServer,
  service: string,
  manager: SlotManager,
  runs: KeyedRuns,
  accepting: () => boolean,
): void {
  server.handle(app.successor, params => ({
    owner: params.service === service && accepting() ? manager.self : null,
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
    params.froms.forEach(from => manager.markRecordsHeld(params.slot, from));
    return {accepted: true};
  });
  server.handle(app.activate, async params => {
    if (params.service !== service) {
      return {active: false};
    }
    await manager.refresh(params.slot);
    return {active: manager.ownSlots().includes(params.slot)};
  });
}
