import type {RpcClient} from '../rpc/client';
import {ok} from '../result';
import * as keys from './keys';
import {OwnerDirectory} from './owner-directory';
import type {Cell, Owner} from './types';

const SLOTS = 1;

function owner(targetId: string): Owner {
  return {
    incarnation: `of ${targetId}`,
    targetId,
    address: `${targetId}:1`,
    bootId: 'b',
    anchor: {wallMs: 0, monotonicMs: 0},
    leadMs: 0,
  };
}

/** A sidecar's copy: a handover changes the owner and the version only. */
function copy(targetId: string, version: number) {
  const cell: Cell = {from: 0, until: Infinity, owner: owner(targetId)};
  return {cells: [{slot: 0, version, cell}]};
}

describe('the directory of owners after a planned stop', () => {
  const key = keys.mintKey(Date.now(), SLOTS, new Set([0]));
  let copies: Record<string, ReturnType<typeof copy>>;
  let asked: string[];
  const rpc = {
    call: async (address: string) => {
      asked.push(address);
      return ok(copies[address]);
    },
  } as unknown as RpcClient;
  const directory = () => new OwnerDirectory(rpc, () => Object.keys(copies));
  const findOwner = async (from: OwnerDirectory) =>
    (await from.findOwner('s', key, SLOTS))?.targetId;

  beforeEach(() => {
    jest.useFakeTimers();
    asked = [];
  });

  afterEach(() => jest.useRealTimers());

  // Guards against requests to an owner that has ended, as long as the copy of
  // another sidecar still names it.
  it('has the successor, whichever copy is read last', async () => {
    copies = {bystander: copy('ended', 7), successor: copy('successor', 8)};
    for (let turn = 0; turn < 50; turn += 1) {
      expect(await findOwner(directory())).toBe('successor');
    }
  });

  it('does not return to the former owner with an older copy', async () => {
    copies = {successor: copy('successor', 8)};
    const owners = directory();
    expect(await findOwner(owners)).toBe('successor');
    copies = {bystander: copy('ended', 7)};
    await jest.advanceTimersByTimeAsync(1_000);
    await owners.refresh('s');
    expect(await findOwner(owners)).toBe('successor');
    // A store that was set back has lower versions.
    await jest.advanceTimersByTimeAsync(20_000);
    await owners.refresh('s');
    expect(await findOwner(owners)).toBe('ended');
  });

  it('asks more sidecars while the owner is looked for', async () => {
    copies = {successor: copy('successor', 8)};
    for (let at = 0; at < 19; at += 1) {
      copies[`bystander-${at}`] = copy('ended', 7);
    }
    const owners = directory();
    for (let turn = 0; turn < 5; turn += 1) {
      await owners.refresh('s');
      await jest.advanceTimersByTimeAsync(250);
    }
    expect(await findOwner(owners)).toBe('successor');
    expect(asked.length).toBeLessThanOrEqual(2 + 4 + 8 + 16 + 20);
    await jest.advanceTimersByTimeAsync(10_000);
    asked = [];
    await owners.refresh('s');
    expect(asked.length).toBe(2);
  });
});
