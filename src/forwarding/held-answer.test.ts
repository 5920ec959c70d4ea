import * as http from 'node:http';
import * as net from 'node:net';
import {HeldBody} from '../http/held-body';
import {HeldBytes} from '../http/held-bytes';
import * as exchanges from './exchange';
import {HeldAnswer} from './held-answer';
import type {Target, Wire} from './types';

const BOUND_BYTES = 256 * 1024;
const CHUNK = Buffer.alloc(64 * 1024, 'x');

/** Guards against callers who pay for the bytes of a target. */
describe('an answer that grows above the bound while it arrives', () => {
  let target: net.Server;
  let address: string;
  const agent = new http.Agent();

  beforeEach(async () => {
    target = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nx-id: id-1\r\n\r\n');
        const send = () => socket.writable && socket.write(CHUNK, send);
        send();
      });
    });
    await new Promise<void>(resolve =>
      target.listen(0, '127.0.0.1', () => resolve()),
    );
    address = `127.0.0.1:${(target.address() as net.AddressInfo).port}`;
  });

  afterEach(() => {
    target.close();
    agent.destroy();
  });

  it('ends the send, not the connection of its caller', async () => {
    const held = new HeldBytes(BOUND_BYTES);
    const cuts: string[] = [];
    const socket = new net.Socket();
    const caller = new http.ServerResponse(new http.IncomingMessage(socket));
    caller.assignSocket(socket);
    const holders = {
      body: new HeldBody(held, of => cuts.push(of)),
      answer: new HeldAnswer(caller, held, of => cuts.push(of)),
      mayRepeat: false,
    };
    const wire = {
      targetHeaders: () => [],
      readResponse: ({statusCode, headers}: http.IncomingMessage) => ({
        status: statusCode,
        requestId: headers['x-id'],
        isSigned: true,
        isEncoded: false,
      }),
    };
    const outcome = await exchanges.exchange(wire as unknown as Wire, {
      agent,
      target: {address} as Target,
      head: {id: 'id-1', method: 'GET', path: '/'} as never,
      body: undefined,
      metadata: {} as never,
      isStream: false,
      holders,
      deadline: performance.now() + 5_000,
      signal: new AbortController().signal,
      onHead: () => undefined,
    });
    expect(outcome).toEqual({kind: 'unknown', why: 'broken-answer'});
    expect(cuts).toEqual(['arriving-answer']);
    expect(socket.destroyed).toBe(false);
    expect(held.bytes()).toBe(0);
    held.close();
  });
});
