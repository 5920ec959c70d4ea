import * as http from 'node:http';
import * as net from 'node:net';
import {SILENT_LOG} from '../observability/log';
import {Metrics} from '../observability/metrics';
import {ClosureLog} from './closure-log';
import {DEFAULT_LIMITS} from './connection-limits';
import type {ConnectionLimits} from './connection-limits';
import {HeldBytes} from './held-bytes';
import * as httpServer from './server';

const HEAD = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';

describe('requests that are sent ahead of their responses', () => {
  const metrics = new Metrics();
  const sockets: net.Socket[] = [];
  let held: HeldBytes;
  let server: http.Server;
  let open: http.ServerResponse[];
  let closed: http.ServerResponse[];

  async function listen(
    changes: Partial<ConnectionLimits>,
    boundBytes = 1_000_000,
  ): Promise<void> {
    held = new HeldBytes(boundBytes);
    const handled: http.ServerResponse[] = [];
    const ended: http.ServerResponse[] = [];
    open = handled;
    closed = ended;
    ({server} = httpServer.createServer(
      (_req, res) => {
        handled.push(res);
        res.once('close', () => ended.push(res));
      },
      {
        listener: 'callers',
        limits: {...DEFAULT_LIMITS, ...changes},
        held,
        closures: new ClosureLog(SILENT_LOG, metrics),
      },
    ));
    await httpServer.bind('127.0.0.1:0', server);
  }

  function connect(): net.Socket {
    const {port} = server.address() as net.AddressInfo;
    const socket = net.connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    return socket;
  }

  function pause(ms = 100): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
  }

  afterEach(async () => {
    sockets.splice(0).forEach(socket => socket.destroy());
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
    held.close();
  });

  it('are handled in order, some at a time', async () => {
    await listen({maxConcurrentRequests: 2});
    const socket = connect();
    let text = '';
    socket.on('data', chunk => (text += String(chunk)));
    socket.write(HEAD.repeat(5));
    await pause();
    expect(open).toHaveLength(2);
    for (let at = 0; at < 5; at += 1) {
      open[at]!.end(`<${at}>`);
      await pause(20);
    }
    expect(text.match(/<\d>/g)).toEqual(['<0>', '<1>', '<2>', '<3>', '<4>']);
    expect(held.bytes()).toBe(0);
    socket.write(HEAD);
    await pause();
    expect(open).toHaveLength(6);
  });

  it('are told of the end of their connection while they wait', async () => {
    await listen({maxConcurrentRequests: 3});
    const socket = connect();
    socket.write(HEAD.repeat(5));
    await pause();
    socket.destroy();
    // The connection is not read, so only a write shows that it has ended.
    open[0]!.write('x');
    await pause();
    open[0]!.write('x');
    await pause();
    expect(open).toHaveLength(3);
    expect(closed.map(res => open.indexOf(res)).sort()).toEqual([0, 1, 2]);
    expect(held.bytes()).toBe(0);
  });

  it('are bounded in number', async () => {
    await listen({maxConcurrentRequests: 1, maxWaitingRequests: 10});
    const socket = connect();
    const hasClosed = new Promise(resolve => socket.once('close', resolve));
    socket.write(HEAD.repeat(12));
    await hasClosed;
    expect(metrics.total('connections_closed_total')).toBeGreaterThan(0);
    expect(held.bytes()).toBe(0);
  });

  // Guards against a sum that grows with the number of connections.
  it('close the connections that hold most once too much is held', async () => {
    await listen({maxConcurrentRequests: 1}, 400_000);
    const crowd = Array.from({length: 10}, () => connect());
    const few = connect();
    few.write(HEAD.repeat(2));
    crowd.forEach(socket => socket.write(HEAD.repeat(50)));
    await pause(300);
    expect(held.bytes()).toBeLessThanOrEqual(400_000);
    expect(crowd.filter(socket => socket.destroyed)).not.toEqual([]);
    expect(few.destroyed).toBe(false);
  });

  it('leave the longest idle connection no place for a new one', async () => {
    await listen({maxConnections: 2});
    const [first, second] = [connect(), connect()];
    await pause();
    first.write(HEAD);
    await pause();
    const third = connect();
    await pause();
    expect([first, second, third].map(one => one.destroyed)).toEqual([
      false,
      true,
      false,
    ]);
    third.write(HEAD);
    await pause();
    const fourth = connect();
    await pause();
    expect([third, fourth].map(one => one.destroyed)).toEqual([false, true]);
  });

  it('are refused with too many header fields', async () => {
    await listen({maxHeaderFields: 5});
    const fields = (count: number) => 'a: b\r\n'.repeat(count);
    const socket = connect();
    let text = '';
    socket.on('data', chunk => (text += String(chunk)));
    socket.write(`GET / HTTP/1.1\r\nHost: a\r\n${fields(4)}\r\n`);
    await pause();
    open[0]!.end('served');
    await pause();
    expect(text).toContain('served');
    socket.write(`GET / HTTP/1.1\r\nHost: a\r\n${fields(5)}\r\n`);
    await pause();
    expect(text).toContain('HTTP/1.1 431');
    expect(socket.destroyed).toBe(true);
  });
});
