import * as http from 'node:http';
import type * as net from 'node:net';
import * as queuesPage from '../observability/queues-page';
import {fetchPages} from './queues-view';

// Guards against an entry that keeps the command waiting, and against a process
// that is no entry, or of another version, shown as an entry where nothing waits.
describe('an answer that is no page', () => {
  const servers: http.Server[] = [];

  afterEach(() => servers.forEach(server => server.closeAllConnections()));
  afterAll(() => servers.forEach(server => server.close()));

  async function serve(handler: http.RequestListener): Promise<string> {
    const server = http.createServer(handler);
    servers.push(server);
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  }

  it.each<[string, http.RequestListener]>([
    ['status 404', (_, res) => res.writeHead(404).end()],
    ['invalid page', (_, res) => res.end('{"entry": "e"}')],
    ['invalid page', (_, res) => res.end('{')],
    [
      'invalid page',
      (_, res) => res.end(' '.repeat(queuesPage.MAX_PAGE_BYTES + 1)),
    ],
    ['no answer within 2000 ms', (_, res) => void res.write('{')],
    ['no connection', req => req.socket.destroy()],
  ])('is listed as: %s', async (error, handler) => {
    const address = await serve(handler);
    const startedAt = performance.now();
    const answers = await fetchPages([address]);
    expect(answers).toEqual([{address, page: {ok: false, error}}]);
    expect(performance.now() - startedAt).toBeLessThan(3_000);
  });
});
