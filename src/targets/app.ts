/** RPC methods about targets. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';
import {targetReportSchema} from './types';

/** Returns the sidecar's report on its target. */
export const report = rpc.method(
  'targets.report',
  v.object({}),
  targetReportSchema,
);

/** Notifies an entry that the sidecar's target is leaving. */
export const leaving = rpc.method(
  'targets.leaving',
  v.object({id: v.string()}),
  v.object({}),
);
