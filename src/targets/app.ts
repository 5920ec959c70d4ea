/** RPC face of a target. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';
import {targetReportSchema} from './types';

/** The sidecar's own word on its target. */
export const report = rpc.method(
  'targets.report',
  v.object({}),
  targetReportSchema,
);

/** A sidecar tells an entry that it leaves. */
export const leaving = rpc.method(
  'targets.leaving',
  v.object({id: v.string()}),
  v.object({}),
);
