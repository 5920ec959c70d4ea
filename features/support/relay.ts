/**
 * A TCP relay between two processes that can cut or stall the traffic and drop
 * responses. Faults apply to whole relays, not to single connections.
 */
import * as net from 'node:net';
import {splitAddress} from '../../src/http/address';

export class Relay {
  private readonly sockets = new Set<net.Socket>();
  private server: net.Server;
  private port = 0;
  private isCut = false;
  private isStalled = false;
  /** Called after each chunk is forwarded; `up` is towards the target. */
  onChunk: ((direction: 'up' | 'down', text: string) => void) | undefined;
  /** Discards what the target sends. */
  dropResponses = false;
  /** Bytes received by direction, including discarded ones. */
  bytes = {up: 0, down: 0};

  constructor(private readonly target: string) {
    this.server = net.createServer(socket => this.accept(socket));
  }

  /** Listens on the previous port again after `close`. */
  async reopen(): Promise<void> {
    this.server = net.createServer(socket => this.accept(socket));
    await this.open(this.port);
  }

  async open(port: number): Promise<void> {
    this.port = port;
    await new Promise<void>(resolve =>
      this.server.listen(port, '127.0.0.1', () => resolve()),
    );
  }

  /** Closes all connections, and new ones as they are accepted. */
  cut(): void {
    this.isCut = true;
    this.destroyConnections();
  }

  destroyConnections(): void {
    this.sockets.forEach(socket => socket.destroy());
  }

  /** Stops reading on all connections without closing them. */
  stall(): void {
    this.isStalled = true;
    this.sockets.forEach(socket => socket.pause());
  }

  restore(): void {
    this.isCut = false;
    this.isStalled = false;
    this.sockets.forEach(socket => socket.resume());
  }

  async close(): Promise<void> {
    this.destroyConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private accept(socket: net.Socket): void {
    if (this.isCut) {
      socket.destroy();
      return;
    }
    const {host, port} = splitAddress(this.target);
    const upstream = net.connect(port, host);
    this.pipe(socket, upstream, 'up');
    this.pipe(upstream, socket, 'down');
    if (this.isStalled) {
      socket.pause();
      upstream.pause();
    }
  }

  private pipe(
    from: net.Socket,
    to: net.Socket,
    direction: 'up' | 'down',
  ): void {
    this.sockets.add(from);
    from.on('data', chunk => {
      this.bytes[direction] += chunk.length;
      if (direction === 'down' && this.dropResponses) {
        return;
      }
      to.write(chunk);
      this.onChunk?.(direction, chunk.toString('latin1'));
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
