import * as http from 'node:http';
import * as net from 'node:net';
import * as body from './body';
import * as bodyReader from './body-reader';
import * as httpClient from './client';
import * as httpServer from './server';

const LIMIT_BYTES = 1024 * 1024;
const CALL = {method: 'GET', path: '/', timeoutMs: 2_000};

/**
 * Guards against a response without a length being taken as complete when its
 * connection is reset, which libuv may report as a plain end.
 */
describe('a response without a length', () => {
  /** What the peer does after it has sent a part of the body. */
  type End = 'reset-at-once' | 'reset-later' | 'end';

  let peer: net.Server;
  let address: string;
  let end: End;
  const agent = httpClient.makeAgent();

  beforeEach(async () => {
    peer = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"ha');
        if (end === 'end') {
          socket.end('lf"');
        } else if (end === 'reset-at-once') {
          socket.resetAndDestroy();
        } else {
          setTimeout(() => socket.resetAndDestroy(), 20);
        }
      });
    });
    await new Promise<void>(resolve =>
      peer.listen(0, '127.0.0.1', () => resolve()),
    );
    address = `127.0.0.1:${(peer.address() as net.AddressInfo).port}`;
  });

  afterEach(() => {
    peer.close();
  });

  afterAll(() => agent.destroy());

  /** Fetches the response through a relay that forwards its body. */
  async function viaRelay(): Promise<{forwarded: boolean; received: boolean}> {
    let forwarded = false;
    const relay = await httpServer.listen(
      '127.0.0.1:0',
      async (_req, res) => {
        const sent = await httpClient.send(agent, {...CALL, address});
        if (sent.ok) {
          res.writeHead(200);
          forwarded = await body.forwardBody(sent.value, res);
        }
      },
      () => undefined,
    );
    const response = await httpClient.fetchBuffered(
      agent,
      {...CALL, address: relay.address},
      LIMIT_BYTES,
    );
    await relay.close();
    return {forwarded, received: response.ok};
  }

  it('is incomplete if the connection is reset', async () => {
    for (const kind of ['reset-at-once', 'reset-later'] as const) {
      end = kind;
      const response = await httpClient.fetchBuffered(
        agent,
        {...CALL, address},
        LIMIT_BYTES,
      );
      expect([kind, response]).toEqual([
        kind,
        {ok: false, error: {kind: 'connection-lost', sent: true}},
      ]);
      const relayed = await viaRelay();
      expect([kind, relayed]).toEqual([
        kind,
        {forwarded: false, received: false},
      ]);
    }
  });

  it('is complete if its connection ends normally', async () => {
    end = 'end';
    const response = await httpClient.fetchBuffered(
      agent,
      {...CALL, address},
      LIMIT_BYTES,
    );
    expect(response).toMatchObject({ok: true, value: {status: 200}});
    expect(await viaRelay()).toEqual({
      forwarded: true,
      received: true,
    });
  });
});

/** Guards against a call that waits for ever since its peer sent no answer. */
describe('a call to a peer that sends no answer', () => {
  const SWITCHING =
    'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n';
  const REPEATED_INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n';
  const TIMEOUT_MS = 300;

  let peer: net.Server;
  let address: string;
  let respond: (socket: net.Socket) => void;
  const agent = httpClient.makeAgent();

  beforeEach(async () => {
    peer = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => respond(socket));
    });
    await new Promise<void>(resolve =>
      peer.listen(0, '127.0.0.1', () => resolve()),
    );
    address = `127.0.0.1:${(peer.address() as net.AddressInfo).port}`;
  });

  afterEach(() => {
    peer.close();
  });

  afterAll(() => agent.destroy());

  /** The kind of the call's error; 'pending' if it has not settled in time. */
  async function errorOf(
    work: Promise<{ok: boolean; error?: {kind: string}}>,
  ): Promise<string | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<string>(resolve => {
      timer = setTimeout(() => resolve('pending'), TIMEOUT_MS * 4);
    });
    const settled = work.then(result =>
      result.ok ? 'answered' : result.error!.kind,
    );
    const first = await Promise.race([settled, late]);
    clearTimeout(timer);
    return first;
  }

  it.each([
    ['an upgrade, and closes', SWITCHING, true],
    ['an upgrade, and keeps the connection', SWITCHING, false],
    ['an upgrade after an interim head', REPEATED_INTERIM + SWITCHING, true],
  ])('settles at once: %s', async (_, bytes, closes) => {
    respond = socket => {
      socket.write(bytes);
      if (closes) {
        socket.end();
      }
    };
    const call = {...CALL, address, timeoutMs: TIMEOUT_MS};
    expect(await errorOf(httpClient.send(agent, call))).toBe('connection-lost');
    const read = httpClient.fetchBuffered(agent, call, LIMIT_BYTES);
    expect(await errorOf(read)).toBe('connection-lost');
  });

  it.each([
    ['silence', ''],
    ['interim heads', REPEATED_INTERIM],
    ['half a head', 'HTTP/1.1 200 OK\r\nContent-'],
  ])('settles at its time-out, without an event: %s', async (_, bytes) => {
    respond = socket => socket.write(bytes);
    const destroy = jest
      .spyOn(http.ClientRequest.prototype, 'destroy')
      .mockImplementation(function (this: http.ClientRequest) {
        return this;
      });
    const call = {...CALL, address, timeoutMs: TIMEOUT_MS};
    const kind = await errorOf(httpClient.send(agent, call));
    destroy.mockRestore();
    agent.destroy();
    expect(kind).toBe('timed-out');
  });

  // Guards against a length without a body, after which a caller takes the next
  // answer's first bytes as this one's body.
  it.each([
    'HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nhi',
    'HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'HTTP/1.1 205 Reset Content\r\nContent-Length: 2\r\n\r\nhi',
    'HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n',
    'HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n',
    'HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n',
    'HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n',
  ])('is told so: %j', async bytes => {
    respond = socket => socket.write(bytes);
    const call = {...CALL, address, timeoutMs: TIMEOUT_MS};
    expect(await errorOf(httpClient.send(agent, call))).toBe('broken-answer');
  });

  it.each([
    'HTTP/1.1 204 No Content\r\n\r\n',
    'HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n',
    'HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n',
    'HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n',
    'HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nhi',
  ])('is not told of an answer: %j', async bytes => {
    respond = socket => socket.write(bytes);
    const call = {...CALL, address, timeoutMs: TIMEOUT_MS};
    const read = httpClient.fetchBuffered(agent, call, LIMIT_BYTES);
    expect(await errorOf(read)).toBe('answered');
  });

  it('settles when its signal aborts, without an event', async () => {
    respond = () => undefined;
    const destroy = jest
      .spyOn(http.ClientRequest.prototype, 'destroy')
      .mockImplementation(function (this: http.ClientRequest) {
        return this;
      });
    const abort = new AbortController();
    const call = {...CALL, address, signal: abort.signal};
    const sent = httpClient.send(agent, call);
    setTimeout(() => abort.abort(), 20);
    const kind = await errorOf(sent);
    destroy.mockRestore();
    agent.destroy();
    expect(kind).toBe('cancelled');
  });

  it('settles at its time-out while a body is read', async () => {
    respond = socket =>
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1');
    const destroy = jest
      .spyOn(http.IncomingMessage.prototype, 'destroy')
      .mockImplementation(function (this: http.IncomingMessage) {
        return this;
      });
    const call = {...CALL, address, timeoutMs: TIMEOUT_MS};
    const kind = await errorOf(
      httpClient.fetchBuffered(agent, call, LIMIT_BYTES),
    );
    destroy.mockRestore();
    agent.destroy();
    expect(kind).toBe('connection-lost');
  });

  it('settles when the reader of a body is interrupted, without an event', async () => {
    respond = socket =>
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1');
    const call = {...CALL, address, timeoutMs: TIMEOUT_MS};
    const sent = await httpClient.send(agent, call);
    if (!sent.ok) {
      throw new Error(sent.error.kind);
    }
    const reader = new bodyReader.BodyReader(sent.value);
    expect(String(await reader.next())).toBe('1');
    const next = reader.next();
    reader.interrupt();
    await expect(next).rejects.toThrow('interrupted');
    reader.close();
    sent.value.destroy();
  });
});
