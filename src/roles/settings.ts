/** Settings of the long-running commands. */
import * as v from 'valibot';
import {addressSchema} from '../http/address';
import {DEFAULT_LIMITS} from '../http/connection-limits';
import * as settings from '../settings/types';

/** One day. */
const MAX_DURATION_MS = 86_400_000;

const addressListSchema = v.pipe(
  v.string(),
  v.transform(text => text.split(',').filter(part => part !== '')),
  v.array(addressSchema),
);

const commonTable = {
  id: {
    schema: settings.nameSchema,
    text: 'name of this instance, unique in the fleet',
    placeholder: 'name',
  },
  hall: {
    schema: settings.nameSchema,
    text: 'hall that this instance stands in',
    placeholder: 'name',
  },
  platform: {
    schema: addressSchema,
    text: "address of the platform's object API",
    placeholder: 'ip:port',
  },
  peers: {
    schema: addressListSchema,
    fallback: '',
    text: 'other processes to ask while the platform is down',
    placeholder: 'ip:port,...',
  },
  logLevel: {
    schema: v.picklist(['info', 'warn', 'error'], 'info, warn or error'),
    fallback: 'info',
    text: 'lowest level of events that are logged',
    placeholder: 'level',
  },
} as const satisfies settings.SettingTable;

/** What callers and other processes may make a process hold. */
const connectionTable = {
  maxConnections: {
    schema: settings.wholeNumber(1, 1_000_000),
    fallback: String(DEFAULT_LIMITS.maxConnections),
    text: 'connections that are open at once',
    placeholder: 'count',
  },
  maxConcurrentRequests: {
    schema: settings.wholeNumber(1, 100_000),
    fallback: String(DEFAULT_LIMITS.maxConcurrentRequests),
    text: 'requests of one connection that are handled at once',
    placeholder: 'count',
  },
  maxWaitingRequests: {
    schema: settings.wholeNumber(1, 100_000),
    fallback: String(DEFAULT_LIMITS.maxWaitingRequests),
    text: 'requests of one connection that wait for earlier ones',
    placeholder: 'count',
  },
  maxHeaderFields: {
    schema: settings.wholeNumber(1, 2_000),
    fallback: String(DEFAULT_LIMITS.maxHeaderFields),
    text: 'header fields of a request',
    placeholder: 'count',
  },
  memoryMb: {
    schema: settings.wholeNumber(0, 1_000_000),
    fallback: '0',
    text: 'memory limit of the process; 0: twice the heap limit of Node.js',
    placeholder: 'megabytes',
  },
} as const satisfies settings.SettingTable;

/** Settings of `entry`. */
export const entryTable = {
  ...commonTable,
  ...connectionTable,
  listen: {
    schema: addressSchema,
    fallback: '127.0.0.1:8080',
    text: 'address towards callers and other processes',
    placeholder: 'ip:port',
  },
  stopPatienceMs: {
    schema: settings.wholeNumber(0, MAX_DURATION_MS),
    fallback: '600000',
    text: 'longest time that a planned stop waits for requests in flight',
    placeholder: 'ms',
  },
} as const satisfies settings.SettingTable;
export type EntrySettings = settings.Settings<typeof entryTable>;

/** `model/<name>` or `service/<name>`. */
const servesTextSchema = v.pipe(
  v.string('model/<name> or service/<name>'),
  v.regex(
    /^(model|service)\/[a-z0-9][a-z0-9-]{0,62}$/,
    'model/<name> or service/<name>',
  ),
);

/** Settings of `sidecar`. */
export const sidecarTable = {
  ...commonTable,
  ...connectionTable,
  listen: {
    schema: addressSchema,
    text: 'address towards entries and other processes',
    placeholder: 'ip:port',
  },
  target: {
    schema: addressSchema,
    text: 'address of the target beside this process',
    placeholder: 'ip:port',
  },
  serves: {
    schema: servesTextSchema,
    text: 'what the target serves',
    placeholder: 'model/name|service/name',
  },
  group: {
    schema: v.pipe(v.string(), v.regex(/^[A-Za-z0-9._-]{0,63}$/, 'a name')),
    fallback: '',
    text: 'group of ranks that the target belongs to',
    placeholder: 'name',
  },
  rank: {
    schema: settings.wholeNumber(0, 1023),
    fallback: '0',
    text: "the target's rank in its group",
    placeholder: 'number',
  },
  capacity: {
    schema: settings.wholeNumber(1, 100_000),
    fallback: '64',
    text: 'requests that the target works on at once',
    placeholder: 'count',
  },
  maxQueued: {
    schema: settings.wholeNumber(0, 100_000),
    fallback: '256',
    text: 'requests that wait for the target at most',
    placeholder: 'count',
  },
  maxAnswerBytes: {
    schema: settings.wholeNumber(0, 1_000_000_000),
    fallback: '8000000',
    text: 'bytes of answers kept for repeated calls with a key',
    placeholder: 'bytes',
  },
  bootId: {
    schema: v.string(),
    fallback: '',
    text: "this boot of the instance; empty: the kernel's boot id",
    placeholder: 'text',
  },
  stopPatienceMs: entryTable.stopPatienceMs,
} as const satisfies settings.SettingTable;
export type SidecarSettings = settings.Settings<typeof sidecarTable>;
