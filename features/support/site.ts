/** Template, accounts and API keys that scenarios run with. */
import type {Account, Service, Template} from '../../src/configuration/types';
import {sha256Hex} from '../../src/requests/headers';

export const API_KEYS = {alpha: 'key-of-alpha', beta: 'key-of-beta'} as const;
export type AccountName = keyof typeof API_KEYS;

export function authHeaders(account: AccountName): Record<string, string> {
  return {
    authorization: `Bearer ${API_KEYS[account]}`,
    'content-type': 'application/json',
  };
}

/** A template that provides the model `assistant` and the service `ledger`. */
export function makeTemplate(service: Partial<Service> = {}): Template {
  return {
    kind: 'template',
    name: 'site',
    classes: {interactive: {priority: 0, timeoutMs: 30_000}},
    models: {assistant: {class: 'interactive', resumeGraceMs: 2_000}},
    services: {
      ledger: {
        repeatable: [
          {method: 'GET', path: '/balances'},
          {method: 'GET', path: '/runs'},
        ],
        timeoutMs: 10_000,
        slots: 6,
        termMs: 20_000,
        retentionMs: 3_600_000,
        maxLeadMs: 1_000,
        ...service,
      },
    },
    parameters: {
      weight: {default: 1, min: 0.1, max: 10},
      // Above the rate of any scenario's load.
      requestsPerSecond: {default: 10_000, min: 1, max: 10_000},
      burst: {default: 10_000, min: 1, max: 10_000},
      concurrent: {default: 1_000, min: 1, max: 10_000},
      timeoutMs: {default: 30_000, min: 100, max: 60_000},
    },
    routing: {
      subset: 24,
      hallMs: 3,
      retryShare: 0.5,
      maxEjectedShare: 0.34,
    },
    placement: {
      skewWeight: 1,
      moveWeight: 1,
      horizonMs: 600_000,
      periodMs: 3_600_000,
    },
  };
}

export function makeAccount(
  id: AccountName,
  parameters: Account['parameters'] = {},
): Account {
  return {
    kind: 'account',
    id,
    template: 'site',
    keyDigests: [sha256Hex(API_KEYS[id])],
    parameters,
  };
}
