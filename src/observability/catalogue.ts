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
  settingRejected: {id: 'FC1005', level: 'error', text: 'bad setting'},
  stopForced: {id: 'FC1006', level: 'warn', text: 'second signal: forced stop'},
  settingsReloaded: {id: 'FC1007', level: 'info', text: 'settings read anew'},
  linesDropped: {id: 'FC1008', level: 'warn', text: 'log lines left out'},
  instanceSuspended: {
    id: 'FC1009',
    level: 'warn',
    text: 'this instance was suspended: all that is believed is older',
  },
  requestRefused: {id: 'FC2001', level: 'info', text: 'request refused'},
  requestRetried: {id: 'FC2002', level: 'info', text: 'request retried'},
  streamResumed: {id: 'FC2003', level: 'warn', text: 'stream resumed'},
  streamBroken: {id: 'FC2004', level: 'error', text: 'stream ended in error'},
  badInput: {id: 'FC2005', level: 'warn', text: 'bad input from a caller'},
  foreignAnswer: {
    id: 'FC2006',
    level: 'error',
    text: 'answer to another request discarded',
  },
  callerGone: {id: 'FC2007', level: 'info', text: 'caller went away'},
  requestSent: {id: 'FC2008', level: 'info', text: 'request sent to a target'},
  requestEnded: {id: 'FC2009', level: 'info', text: 'request ended'},
  noTarget: {id: 'FC2010', level: 'warn', text: 'no target for a service'},
  streamMoved: {
    id: 'FC2011',
    level: 'info',
    text: 'stream goes on at a faster rank',
  },
  requestConvicted: {
    id: 'FC2012',
    level: 'error',
    text: 'request crashes the targets that run it: refused from now on',
  },
  platformUnavailable: {
    id: 'FC3001',
    level: 'warn',
    text: 'platform store unavailable',
  },
  platformBack: {id: 'FC3002', level: 'info', text: 'platform store is back'},
  answerLost: {
    id: 'FC3003',
    level: 'warn',
    text: 'store answer lost: reading back',
  },
  watchRelisted: {id: 'FC3004', level: 'info', text: 'watch too old: relisted'},
  configurationApplied: {
    id: 'FC4001',
    level: 'info',
    text: 'configuration in force',
  },
  configurationRejected: {
    id: 'FC4002',
    level: 'error',
    text: 'configuration object does not parse: kept the former one',
  },
  watcherChanged: {id: 'FC4003', level: 'info', text: 'source of changes set'},
  watchTaken: {id: 'FC4004', level: 'info', text: 'the store is watched here'},
  watchLeft: {
    id: 'FC4005',
    level: 'info',
    text: 'peers watch the store for this process',
  },
  storeSetBack: {
    id: 'FC4006',
    level: 'warn',
    text: 'the store has come back from an older copy of itself',
  },
  cellTaken: {id: 'FC5001', level: 'info', text: 'claim cell taken'},
  cellLost: {id: 'FC5002', level: 'warn', text: 'claim cell lost'},
  cellCut: {
    id: 'FC5003',
    level: 'info',
    text: 'predecessor is dead: its cell was cut short',
  },
  cellHandedOver: {id: 'FC5004', level: 'info', text: 'claim cell handed over'},
  cellExtensionLate: {
    id: 'FC5005',
    level: 'warn',
    text: 'claim cell could not be extended',
  },
  targetLeaving: {id: 'FC6001', level: 'info', text: 'target is leaving'},
  targetEjected: {id: 'FC6002', level: 'warn', text: 'target ejected'},
  targetReadmitted: {id: 'FC6003', level: 'info', text: 'target let back in'},
  targetJoined: {id: 'FC6005', level: 'info', text: 'target may get work'},
  targetGone: {id: 'FC6006', level: 'info', text: 'target gets no more work'},
  targetMissing: {
    id: 'FC6007',
    level: 'warn',
    text: 'target off the list after an outage: kept for a while',
  },
  targetRestarted: {
    id: 'FC6010',
    level: 'info',
    text: 'target has started again under its id',
  },
  targetUnread: {
    id: 'FC6011',
    level: 'warn',
    text: 'entry names no target',
  },
  targetResting: {
    id: 'FC6012',
    level: 'info',
    text: 'target is held back: it has asked for rest',
  },
  targetRested: {
    id: 'FC6013',
    level: 'info',
    text: 'target is used as before its rest',
  },
  restUnread: {
    id: 'FC6014',
    level: 'warn',
    text: 'target asked for something that is no time',
  },
  targetLimited: {
    id: 'FC6015',
    level: 'info',
    text: 'target has named how many requests a second it takes',
  },
  limitEnded: {
    id: 'FC6016',
    level: 'info',
    text: 'target names no limit any more',
  },
  limitLent: {
    id: 'FC6017',
    level: 'info',
    text: 'permits to send to a limited target are lent here',
  },
  limitLeft: {
    id: 'FC6018',
    level: 'info',
    text: 'another process lends permits to send to a limited target',
  },
  hallEmptied: {
    id: 'FC6019',
    level: 'info',
    text: 'the operator has emptied a hall: its targets get nothing more',
  },
  hallTakenBack: {
    id: 'FC6020',
    level: 'info',
    text: 'the operator has taken a hall back',
  },
  targetCrashed: {
    id: 'FC6021',
    level: 'warn',
    text: 'target has crashed with requests under way',
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
    text: 'order with an old fence refused',
  },
  orderFailed: {id: 'FC7006', level: 'warn', text: 'order to a target failed'},
  mapNotPrepared: {id: 'FC7007', level: 'warn', text: 'map not prepared'},
  mapChangeStuck: {
    id: 'FC7008',
    level: 'error',
    text: 'ranks do not answer while their group is held',
  },
  mapChanged: {id: 'FC7009', level: 'info', text: 'map change ended'},
  plannerObeyed: {id: 'FC7010', level: 'info', text: 'newer planner obeyed'},
  plannerStarted: {id: 'FC7011', level: 'info', text: 'planning starts'},
  plannerFault: {id: 'FC7012', level: 'error', text: 'planner failed'},
  strayHold: {id: 'FC7013', level: 'warn', text: 'group held by nobody'},
  seatTaken: {id: 'FC7014', level: 'info', text: 'planner seat taken'},
  seatLost: {id: 'FC7015', level: 'warn', text: 'planner seat lost'},
  seatReleased: {id: 'FC7016', level: 'info', text: 'planner seat given up'},
  demandDrifted: {
    id: 'FC7017',
    level: 'info',
    text: 'demand for experts has changed',
  },
  rpcRejected: {id: 'FC8001', level: 'warn', text: 'RPC of the wrong shape'},
} as const satisfies Record<string, EventEntry>;

export type EventName = keyof typeof EVENTS;
