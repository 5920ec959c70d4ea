import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import {freePorts} from './ports';

describe('freePorts', () => {
  it('returns distinct ports of one range', async () => {
    const ports = await freePorts(20);
    expect(new Set(ports).size).toBe(20);
    const ranges = new Set(ports.map(port => Math.floor(port / 1_000)));
    expect(ranges.size).toBe(1);
  });

  it('skips a port that is in use', async () => {
    const [port] = await freePorts(1);
    const server = net.createServer();
    const taken = port! + 1;
    await new Promise<void>(resolve =>
      server.listen(taken, '127.0.0.1', () => resolve()),
    );
    expect(await freePorts(1)).not.toEqual([taken]);
    server.close();
  });

  it('holds its range until the test file ends', async () => {
    const [port] = await freePorts(1);
    const first = Math.floor(port! / 1_000) * 1_000;
    const code = `require('net').createServer()
      .on('error', err => console.log(err.code))
      .listen(${first}, '127.0.0.1', function () { this.close(); });`;
    const other = childProcess.spawnSync(process.execPath, ['-e', code]);
    expect(String(other.stdout).trim()).toBe('EADDRINUSE');
  });
});
