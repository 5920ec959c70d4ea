import * as net from 'node:net';
import * as body from './body';
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
