/** An entry's part of service calls: to any target, or to the key's owner. */
import type * as http from 'node:http';
import * as claimsApp from '../claims/app';
import * as keys from '../claims/keys';
import type {Service} from '../configuration/types';
import {isAddress} from '../http/address';
import * as httpClient from '../http/client';
import * as random from '../random';
import {Result, fail, ok} from '../result';
import * as entry from './entry-context';
import * as forwarding from './entry-forward';
import * as headers from './headers';
import * as refusals from './refusals';
import {isRepeatable} from './sidecar-service';

/** A call to a service, with its body read. */
export interface ServiceCall {
  readonly service: string;
  readonly settings: Service;
  readonly method: string;
  /** Path and query as the target sees them. */
  readonly path: string;
  readonly key: string | undefined;
  readonly payload: Buffer | undefined;
}

/** A call with a key is refused if no owner takes it within this time. */
const OWNER_TIMEOUT_MS = 2_000;
const OWNER_RETRY_INTERVAL_MS = 100;
const OWNER_RETRY_AFTER_MS = 2_000;
const BURN_TIMEOUT_MS = 500;

export async function runService(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: ServiceCall,
): Promise<void> {
  if (isRepeatable(call.settings, call.method, call.path)) {
    await runOnAnyTarget(context, caller, call);
    return;
  }
  if (call.key === undefined) {
    const detail = `${call.method} ${call.path} may not be repeated`;
    const refusal = refusals.notRun('key-required', detail);
    entry.refuseCaller(context, caller, refusal);
    return;
  }
  const key = keys.parseKey(call.key);
  if (key === undefined) {
    const refusal = refusals.notRun('bad-key', 'not a UUIDv7');
    entry.refuseCaller(context, caller, refusal);
    return;
  }
  const sent = await sendToOwner(context, caller, call, key);
  if (!sent.ok) {
    entry.refuseCaller(context, caller, sent.error);
    return;
  }
  await entry.relayResponse(context, caller, sent.value, 'service');
}

/**
 * Sends a refusal by the entry itself. Only the key's owner can guarantee
 * `not-run`, so the entry asks it to burn the key first.
 */
export async function refuseKeyed(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: ServiceCall,
  refusal: refusals.Refusal,
): Promise<void> {
  const key = keys.parseKey(call.key ?? '');
  const needsNoBurn =
    key === undefined || isRepeatable(call.settings, call.method, call.path);
  const confirmed = needsNoBurn
    ? refusal
    : await burn(context, caller, call, key, refusal);
  entry.refuseCaller(context, caller, confirmed);
}

/**
 * Burns the key; returns the refusal with the outcome that the owner reports.
 */
async function burn(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: ServiceCall,
  key: keys.RequestKey,
  refusal: refusals.Refusal,
): Promise<refusals.Refusal> {
  const {slots} = call.settings;
  const owner = await context.owners.findOwner(call.service, key, slots);
  if (owner === undefined) {
    return {...refusal, outcome: 'unknown'};
  }
  const answer = await context.rpc.call(
    owner.address,
    claimsApp.burn,
    {service: call.service, account: caller.account.id, key: key.text},
    BURN_TIMEOUT_MS,
  );
  const state = answer.ok ? answer.value.state : 'unknown';
  switch (state) {
    case 'not-run':
    case 'ran':
      return {...refusal, outcome: state};
    case 'running':
    case 'unknown':
    case 'not-owner':
      return {...refusal, outcome: 'unknown'};
  }
}

async function runOnAnyTarget(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: ServiceCall,
): Promise<void> {
  const sent = await forwarding.forward(context, caller, {
    method: call.method,
    path: `/${call.service}${call.path}`,
    payload: call.payload,
    routed: {
      account: caller.account.id,
      prefix: '',
      promptTokens: 0,
      hall: context.hall,
    },
    eligible: () => context.targets.forService(call.service),
  });
  if (!sent.ok) {
    entry.refuseCaller(context, caller, sent.error);
    return;
  }
  try {
    await entry.relayResponse(context, caller, sent.value.res, 'service');
  } finally {
    sent.value.done();
  }
}

/**
 * Sends a call with a key to the key's owner only, and retries for up to
 * OWNER_TIMEOUT_MS. Retries are safe, since the owner runs a key at most once.
 */
async function sendToOwner(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: ServiceCall,
  key: keys.RequestKey,
): Promise<Result<http.IncomingMessage, refusals.Refusal>> {
  const giveUpAt = Math.min(Date.now() + OWNER_TIMEOUT_MS, caller.deadlineAt);
  let hint: string | undefined;
  let lastRefusal: refusals.Refusal | undefined;
  for (;;) {
    const {slots} = call.settings;
    const owner = await context.owners.findOwner(call.service, key, slots);
    const address = hint ?? owner?.address;
    hint = undefined;
    if (address !== undefined) {
      const attempt = await tryOwner(context, caller, call, address);
      if (attempt.ok || !isTransient(attempt.error.kind)) {
        return attempt;
      }
      lastRefusal = attempt.error;
      hint = ownerAddressIn(attempt.error, address);
    }
    if (Date.now() >= giveUpAt || caller.signal.aborted) {
      return fail(await finalRefusal(context, caller, call, key, lastRefusal));
    }
    if (hint === undefined) {
      await sleep(random.jitter(OWNER_RETRY_INTERVAL_MS));
      await context.owners.refresh(call.service);
    }
  }
}

/** The refusal after all attempts, with the outcome that the owner reports. */
async function finalRefusal(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: ServiceCall,
  key: keys.RequestKey,
  lastRefusal: refusals.Refusal | undefined,
): Promise<refusals.Refusal> {
  const refusal =
    lastRefusal ??
    refusals.unknownOutcome(
      'owner-unreachable',
      'the owner of the key is not known',
      OWNER_RETRY_AFTER_MS,
    );
  return burn(context, caller, call, key, refusal);
}

function isTransient(kind: refusals.RefusalKind): boolean {
  // `no-target`: the sidecar has just started and has no configuration yet.
  return (
    kind === 'not-owner' || kind === 'owner-unreachable' || kind === 'no-target'
  );
}

/** The owner's address in a `not-owner` refusal, unless it is the one asked. */
function ownerAddressIn(
  refusal: refusals.Refusal,
  asked: string,
): string | undefined {
  const address = refusal.detail;
  return refusal.kind === 'not-owner' && isAddress(address) && address !== asked
    ? address
    : undefined;
}

async function tryOwner(
  context: entry.EntryContext,
  caller: entry.CallerRequest,
  call: ServiceCall,
  address: string,
): Promise<Result<http.IncomingMessage, refusals.Refusal>> {
  const attempt = {target: address, weighed: [], result: 'open'};
  caller.journalEntry.attempts.push(attempt);
  const sent = await httpClient.send(context.agent, {
    address,
    method: call.method,
    path: `/${call.service}${call.path}`,
    headers: {
      ...entry.forwardHeaders(context, caller),
      [headers.KEY_HEADER]: call.key,
    },
    body: call.payload,
    timeoutMs: entry.remainingMs(caller),
    signal: caller.signal,
  });
  if (!sent.ok) {
    attempt.result = sent.error.kind;
    const isLate = sent.error.kind === 'timed-out';
    return fail(
      refusals.unknownOutcome(
        isLate ? 'deadline-exceeded' : 'owner-unreachable',
        `the owner: ${sent.error.kind}`,
        OWNER_RETRY_AFTER_MS,
      ),
    );
  }
  entry.applyResponseHeaders(context, undefined, address, sent.value);
  const refusal = await entry.readRefusal(sent.value);
  attempt.result = refusal?.kind ?? `status ${sent.value.statusCode}`;
  return refusal === undefined ? ok(sent.value) : fail(refusal);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
