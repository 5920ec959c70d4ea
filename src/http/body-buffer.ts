/**
 * Collects the chunks of a body. The runtime makes a buffer of several hundred
 * bytes for each chunk, however small, so small chunks are copied into blocks.
 */

/** Chunks of at least this size are kept as they are. */
const MIN_KEPT_BYTES = 4 * 1024;
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 16 * 1024;
/** Share of the body so far that a block has at most. */
const BLOCK_SHARE = 1 / 4;

export class BodyBuffer {
  private parts: Buffer[] = [];
  private block: Buffer | undefined;
  private usedBytes = 0;
  private bodyBytes = 0;

  /** Bytes of the body so far. At most a quarter more is occupied. */
  get size(): number {
    return this.bodyBytes;
  }

  /** Returns true if the chunk took memory that was not allocated before. */
  add(chunk: Buffer): boolean {
    const isFirst = this.bodyBytes === 0;
    this.bodyBytes += chunk.length;
    if (isFirst || chunk.length >= MIN_KEPT_BYTES) {
      this.closeBlock();
      this.parts.push(chunk);
      return true;
    }
    return this.copy(chunk);
  }

  /** Returns the body and empties this buffer. */
  take(): Buffer {
    this.closeBlock();
    const {parts} = this;
    this.clear();
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }

  clear(): void {
    this.parts = [];
    this.block = undefined;
    this.usedBytes = 0;
    this.bodyBytes = 0;
  }

  private copy(chunk: Buffer): boolean {
    if (
      this.block !== undefined &&
      this.usedBytes + chunk.length > this.block.length
    ) {
      this.closeBlock();
    }
    const isNew = this.block === undefined;
    this.block ??= Buffer.allocUnsafeSlow(this.nextBlockBytes(chunk.length));
    chunk.copy(this.block, this.usedBytes);
    this.usedBytes += chunk.length;
    return isNew;
  }

  private nextBlockBytes(minBytes: number): number {
    const shareBytes = Math.floor(this.bodyBytes * BLOCK_SHARE);
    const bytes = Math.min(shareBytes, MAX_BLOCK_BYTES);
    return Math.max(bytes, MIN_BLOCK_BYTES, minBytes);
  }

  private closeBlock(): void {
    const {block, usedBytes} = this;
    if (block === undefined) {
      return;
    }
    const used = block.subarray(0, usedBytes);
    // A part of a block would keep all of it alive.
    this.parts.push(usedBytes === block.length ? block : Buffer.from(used));
    this.block = undefined;
    this.usedBytes = 0;
  }
}
