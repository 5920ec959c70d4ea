/**
 * The numbered log events, documented in docs/EVENTS.md. A test compares that
 * page with this table.
 */

export type Level = 'info' | 'warn' | 'error';

interface EventEntry {
  readonly id: string;
  readonly level: Level;
  readonly text: string;
}

/** All events by name. Numbers of removed events must not be reused. */
export const EVENTS = {
  processReady: {id: 'FC1001', level: 'info', text: 'process is ready'},
  processStopping: {id: 'FC1002', level: 'info', text: 'process is stopping'},
  processStopped: {id: 'FC1003', level: 'info', text: 'process has stopped'},
  requestFault: {id: 'FC1004', level: 'error', text: 'a handler failed'},
  settingRejected: {id: 'FC1005', level: 'error', text: 'invalid setting'},
  stopForced: {id: 'FC1006', level: 'warn', text: 'second signal: forced stop'},
  settingsReloaded: {id: 'FC1007', level: 'info', text: 'settings reloaded'},
  linesDropped: {id: 'FC1008', level: 'warn', text: 'log lines dropped'},
  instanceSuspended: {
    id: 'FC1009',
    level: 'warn',
    text: 'instance was suspended: its data is treated as older',
  },
  portHeld: {
    id: 'FC1010',
    level: 'warn',
    text: 'a port is held by another process: waiting for it',
  },
  portUnavailable: {
    id: 'FC1011',
    level: 'error',
    text: 'a port was not freed in time',
  },
  requestRefused: {id: 'FC2001', level: 'info', text: 'request refused'},
  requestRetried: {id: 'FC2002', level: 'info', text: 'request retried'},
  streamResumed: {id: 'FC2003', level: 'warn', text: 'stream resumed'},
  streamBroken: {id: 'FC2004', level: 'error', text: 'stream ended in error'},
  badInput: {id: 'FC2005', level: 'warn', text: 'invalid input from a caller'},
  foreignAnswer: {
    id: 'FC2006',
    level: 'error',
    text: 'response to another request discarded',
  },
  callerGone: {id: 'FC2007', level: 'info', text: 'caller disconnected'},
  requestSent: {id: 'FC2008', level: 'info', text: 'request sent to a target'},
  requestEnded: {id: 'FC2009', level: 'info', text: 'request ended'},
  noTarget: {
    id: 'FC2010',
    level: 'warn',
    text: 'no target available for a service',
  },
  streamMoved: {
    id: 'FC2011',
    level: 'info',
    text: 'stream continues on a faster rank',
  },
  requestConvicted: {
    id: 'FC2012',
    level: 'error',
    text: 'requests crash their targets: refused from now on',
  },
  admissionQueued: {
    id: 'FC2013',
    level: 'info',
    text: 'requests wait for a target',
  },
  requestTried: {
    id: 'FC2014',
    level: 'warn',
    text: 'one quarantined request is sent as a trial',
  },
  slowReaderCut: {
    id: 'FC2015',
    level: 'warn',
    text: 'too many bytes held: slow reader or sender cut off',
  },
  requestReleased: {
    id: 'FC2016',
    level: 'warn',
    text: 'quarantined request was served: not refused any more',
  },
  connectionsShed: {
    id: 'FC2017',
    level: 'warn',
    text: 'closing of new connections began or ended: no processor time left',
  },
  requestCut: {
    id: 'FC2018',
    level: 'warn',
    text: 'process ended before the caller had the whole answer',
  },
  connectionClosed: {
    id: 'FC2019',
    level: 'warn',
    text: 'connection closed or refused because of a limit on callers',
  },
  platformUnavailable: {
    id: 'FC3001',
    level: 'warn',
    text: 'platform store unavailable',
  },
  platformBack: {
    id: 'FC3002',
    level: 'info',
    text: 'platform store available again',
  },
  answerLost: {
    id: 'FC3003',
    level: 'warn',
    text: 'store response lost: reading back',
  },
  watchRelisted: {
    id: 'FC3004',
    level: 'info',
    text: 'watch version expired: listed again',
  },
  configurationApplied: {
    id: 'FC4001',
    level: 'info',
    text: 'configuration applied',
  },
  configurationRejected: {
    id: 'FC4002',
    level: 'error',
    text: 'invalid configuration object: previous one kept',
  },
  watcherChanged: {
    id: 'FC4003',
    level: 'info',
    text: 'source of configuration changes selected',
  },
  watchTaken: {
    id: 'FC4004',
    level: 'info',
    text: 'this process watches the store',
  },
  watchLeft: {
    id: 'FC4005',
    level: 'info',
    text: 'peers watch the store for this process',
  },
  storeSetBack: {
    id: 'FC4006',
    level: 'warn',
    text: 'store was restored from an older copy',
  },
  cellTaken: {id: 'FC5001', level: 'info', text: 'claim cell acquired'},
  cellLost: {id: 'FC5002', level: 'warn', text: 'claim cell lost'},
  cellCut: {
    id: 'FC5003',
    level: 'info',
    text: 'predecessor is dead: its claim cell was shortened',
  },
  cellHandedOver: {id: 'FC5004', level: 'info', text: 'claim cell handed over'},
  cellExtensionLate: {
    id: 'FC5005',
    level: 'warn',
    text: 'claim cell could not be extended',
  },
  targetLeaving: {id: 'FC6001', level: 'info', text: 'target is leaving'},
  targetEjected: {id: 'FC6002', level: 'warn', text: 'target ejected'},
  targetReadmitted: {id: 'FC6003', level: 'info', text: 'target readmitted'},
  targetJoined: {
    id: 'FC6005',
    level: 'info',
    text: 'target can receive requests',
  },
  targetGone: {
    id: 'FC6006',
    level: 'info',
    text: 'target receives no more requests',
  },
  targetMissing: {
    id: 'FC6007',
    level: 'warn',
    text: 'target missing from the list after an outage: kept temporarily',
  },
  targetRestarted: {
    id: 'FC6010',
    level: 'info',
    text: 'target restarted under the same id',
  },
  targetUnread: {
    id: 'FC6011',
    level: 'warn',
    text: 'list entry does not describe a target',
  },
  targetResting: {
    id: 'FC6012',
    level: 'info',
    text: 'target held back: it sent Retry-After',
  },
  targetRested: {
    id: 'FC6013',
    level: 'info',
    text: 'target used again after Retry-After',
  },
  restUnread: {
    id: 'FC6014',
    level: 'warn',
    text: 'target sent an unparsable Retry-After',
  },
  targetLimited: {
    id: 'FC6015',
    level: 'info',
    text: 'target states a rate limit',
  },
  limitEnded: {
    id: 'FC6016',
    level: 'info',
    text: 'target states no rate limit any more',
  },
  limitLent: {
    id: 'FC6017',
    level: 'info',
    text: 'this process issues permits for a rate-limited target',
  },
  limitLeft: {
    id: 'FC6018',
    level: 'info',
    text: 'another process issues permits for a rate-limited target',
  },
  hallEmptied: {
    id: 'FC6019',
    level: 'info',
    text: 'operator drained a hall: its targets receive no more requests',
  },
  hallTakenBack: {
    id: 'FC6020',
    level: 'info',
    text: 'operator returned a hall to service',
  },
  targetCrashed: {
    id: 'FC6021',
    level: 'warn',
    text: 'target crashed with requests in progress',
  },
  shareChanged: {
    id: 'FC6022',
    level: 'info',
    text: 'share of a pool changed',
  },
  capacityHeld: {
    id: 'FC6023',
    level: 'info',
    text: 'this process shares out the capacity of a pool',
  },
  capacityLeft: {
    id: 'FC6024',
    level: 'info',
    text: 'another process shares out the capacity of a pool',
  },
  targetUnreachable: {
    id: 'FC6004',
    level: 'warn',
    text: 'target does not answer its sidecar',
  },
  groupClosed: {
    id: 'FC6008',
    level: 'warn',
    text: 'ranks of a group refuse all requests',
  },
  groupOpen: {
    id: 'FC6009',
    level: 'info',
    text: 'group takes requests again',
  },
  targetCold: {
    id: 'FC6025',
    level: 'info',
    text: 'target is cold: receives a limited rate',
  },
  targetWarm: {
    id: 'FC6026',
    level: 'info',
    text: 'target is no longer cold',
  },
  mapChangeStarted: {id: 'FC7001', level: 'info', text: 'map change started'},
  mapChangeCommitted: {
    id: 'FC7002',
    level: 'info',
    text: 'map change committed',
  },
  mapChangeAborted: {id: 'FC7003', level: 'warn', text: 'map change aborted'},
  mapChangeRecovered: {
    id: 'FC7004',
    level: 'warn',
    text: 'map change taken over',
  },
  staleOrderRefused: {
    id: 'FC7005',
    level: 'warn',
    text: 'order with an outdated fencing token refused',
  },
  orderFailed: {id: 'FC7006', level: 'warn', text: 'order to a target failed'},
  mapNotPrepared: {id: 'FC7007', level: 'warn', text: 'map not prepared'},
  mapChangeStuck: {
    id: 'FC7008',
    level: 'error',
    text: 'ranks do not respond while their group is held',
  },
  mapChanged: {id: 'FC7009', level: 'info', text: 'map change ended'},
  plannerObeyed: {id: 'FC7010', level: 'info', text: 'newer planner accepted'},
  plannerStarted: {id: 'FC7011', level: 'info', text: 'planning starts'},
  plannerFault: {id: 'FC7012', level: 'error', text: 'planner failed'},
  strayHold: {
    id: 'FC7013',
    level: 'warn',
    text: 'a group is held, or some of its ranks are armed, after a change',
  },
  seatTaken: {id: 'FC7014', level: 'info', text: 'planner elected'},
  seatLost: {id: 'FC7015', level: 'warn', text: 'planner role lost'},
  seatReleased: {id: 'FC7016', level: 'info', text: 'planner role released'},
  demandDrifted: {
    id: 'FC7017',
    level: 'info',
    text: 'demand for experts has changed',
  },
  rpcRejected: {
    id: 'FC8001',
    level: 'warn',
    text: 'RPC does not match its schema',
  },
} as const satisfies Record<string, EventEntry>;

export type EventName = keyof typeof EVENTS;
