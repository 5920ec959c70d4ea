/**
 * Bounds what a peer sends without an answer making progress: blank lines and
 * interim responses before its head, chunk extensions and trailers around its body.
 * The runtime bounds a single head only.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

/** Bytes that don't belong to a body: a head of the runtime's limit, and more. */
const MAX_OVERHEAD_BYTES = 64 * 1024;
/** Bytes of framing for each byte of a body; a chunk of one byte takes six. */
const OVERHEAD_PER_BYTE = 32;

export class AnswerGuard {
  private bodyBytes = 0;
  /** What the socket had read when bytes arrived last; all of it is parsed. */
  private parsedBytes: number;
  private readonly startBytes: number;
  private readonly check = () => this.checkOverhead();

  /** `onExcess` is called once, when the bound is exceeded. */
  constructor(
    private readonly socket: net.Socket,
    private readonly onExcess: () => void,
  ) {
    this.startBytes = socket.bytesRead;
    this.parsedBytes = socket.bytesRead;
    // Before the parser's listener, which would work on these bytes.
    socket.prependListener('data', this.check);
  }

  /** Counts the body of the answer, whose head has arrived. */
  watchBody(res: http.IncomingMessage): void {
    const push = res.push.bind(res);
    res.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
      this.bodyBytes += chunk?.length ?? 0;
      return push(chunk, encoding);
    };
    res.once('close', () => this.close());
  }

  close(): void {
    this.socket.removeListener('data', this.check);
  }

  private checkOverhead(): void {
    const overhead = this.parsedBytes - this.startBytes - this.bodyBytes;
    const bound = MAX_OVERHEAD_BYTES + this.bodyBytes * OVERHEAD_PER_BYTE;
    this.parsedBytes = this.socket.bytesRead;
    if (overhead > bound) {
      this.close();
      this.onExcess();
    }
  }
}
