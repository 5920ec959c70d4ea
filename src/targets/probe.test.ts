import * as http from 'node:http';
import type * as net from 'node:net';
import {EngineProbe} from './probe';

describe('the looks at an engine that turns them away', () => {
  const agent = new http.Agent();
  let looks = 0;
  let server: http.Server;
  let probe: EngineProbe;

  beforeEach(async () => {
    server = http.createServer((_req, res) => {
      looks += 1;
      res.writeHead(503, {'Retry-After': '0.9'}).end();
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as net.AddressInfo;
    const log = {event: () => undefined};
    const address = `127.0.0.1:${port}`;
    probe = new EngineProbe(agent, address, log, () => undefined);
  });

  afterEach(() => {
    probe.close();
    agent.destroy();
    server.close();
    server.closeAllConnections();
  });

  // They come each 250 ms: one that wanted 0.9 s of rest got four in 0.8 s.
  it('come again once the rest is over that it asked for', async () => {
    probe.start();
    await new Promise(resolve => setTimeout(resolve, 800));
    expect(looks).toBe(1);
    await new Promise(resolve => setTimeout(resolve, 700));
    expect(looks).toBe(2);
  });
});
