import * as http from 'node:http';
import type * as net from 'node:net';
import {EngineProbe} from './probe';

describe('probes of an engine that refuses them', () => {
  const agent = new http.Agent();
  let probes = 0;
  let server: http.Server;
  let probe: EngineProbe;

  beforeEach(async () => {
    server = http.createServer((_req, res) => {
      probes += 1;
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

  // Guards against probing at the usual interval during a cooldown.
  it('resume once the requested cooldown is over', async () => {
    probe.start();
    await new Promise(resolve => setTimeout(resolve, 800));
    expect(probes).toBe(1);
    await new Promise(resolve => setTimeout(resolve, 700));
    expect(probes).toBe(2);
  });
});
