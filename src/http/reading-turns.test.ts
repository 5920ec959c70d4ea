import * as http from 'node:http';
import * as net from 'node:net';
import * as body from './body';
import * as httpServer from './server';

const CHUNK = '1\r\nx\r\n';
const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
/** Chunks of a body that takes turns. */
const MANY = 20_000;
const LIMIT_BYTES = 1_000_000;

describe('bodies in many small chunks', () => {
  const server = http.createServer((req, res) => {
    void body.readBody(req, LIMIT_BYTES).then(read => {
      res.end(read.ok ? `<${read.value.length}>` : 'refused');
    });
  });
  const sockets: net.Socket[] = [];

  beforeAll(() => httpServer.bind('127.0.0.1:0', server));
  afterEach(() => sockets.splice(0).forEach(socket => socket.destroy()));
  afterAll(() => {
    server.close();
    server.closeAllConnections();
  });

  /** Sends the head of a request and its first chunks. */
  function begin(): net.Socket {
    const {port} = server.address() as net.AddressInfo;
    const socket = net.connect(port, '127.0.0.1');
    sockets.push(socket);
    socket.write(HEAD + CHUNK.repeat(MANY));
    return socket;
  }

  function answerTo(socket: net.Socket): Promise<string> {
    return new Promise(resolve => {
      let text = '';
      socket.on('data', chunk => {
        text += String(chunk);
        if (text.endsWith('>')) {
          resolve(text.slice(text.indexOf('<')));
        }
      });
    });
  }

  function end(socket: net.Socket): void {
    socket.write(CHUNK.repeat(MANY) + '0\r\n\r\n');
  }

  function pause(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, 100));
  }

  it('are read to their ends by turns', async () => {
    const crowd = Array.from({length: 5}, () => begin());
    const answers = Promise.all(crowd.map(answerTo));
    crowd.forEach(end);
    expect(await answers).toEqual(crowd.map(() => `<${2 * MANY}>`));
  });

  // Guards against a turn that never ends.
  it('are read while another one pauses', async () => {
    begin();
    await pause();
    const second = begin();
    const answer = answerTo(second);
    await pause();
    end(second);
    expect(await answer).toBe(`<${2 * MANY}>`);
  });

  it('are read after the one whose turn it is has left', async () => {
    const [first, second] = [begin(), begin()];
    const answer = answerTo(second);
    await pause();
    first.destroy();
    end(second);
    expect(await answer).toBe(`<${2 * MANY}>`);
  });
});
