import {EventEmitter} from 'node:events';
import type * as http from 'node:http';
import type {Route} from '../routes/types';
import {Call} from './call';
import type {ForwarderContext} from './forwarder';
import type {Target} from './types';

describe('events of a stream', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  // Guards against a slow caller looking like long passes of the group.
  it('show passes of the group, except while the caller reads slowly', () => {
    const notePass = jest.fn();
    const res = new EventEmitter();
    const call = new Call(
      undefined as unknown as http.IncomingMessage,
      res as http.ServerResponse,
      {views: {notePass}} as unknown as ForwarderContext,
      () => false,
    );
    const target = {group: 'g'} as Target;
    const gapsWith = (route: Partial<Route>) => {
      notePass.mockClear();
      call.setRoute(route as Route, undefined, 1_000);
      for (const isDrained of [false, false, true, false]) {
        jest.advanceTimersByTime(100);
        if (isDrained) {
          res.emit('drain');
        }
        call.noteEvents(target);
      }
      return notePass.mock.calls.map(([, from, now]) => now - from);
    };
    call.sendCount = 1;
    expect(gapsWith({pauseMs: 150})).toEqual([100, 100]);
    expect(gapsWith({pauseMs: 0})).toEqual([]);
  });
});
