/**
 * An in-memory object API for tests with fake timers. During an outage calls
 * fail without effect; a write whose response is dropped still takes effect.
 */
import {Result, fail, ok} from '../result';
import {ObjectApi} from './client';
import type {Instance, Listing, PlatformError, StoredObject} from './types';

export class MemoryStore extends ObjectApi {
  isDown = false;
  responsesToDrop = 0;
  callCount = 0;
  instanceList: readonly Instance[] = [];
  private readonly objects = new Map<string, StoredObject>();
  private readonly waiters = new Set<() => void>();
  private revision = 0;

  async get(key: string): Promise<Result<StoredObject | null, PlatformError>> {
    this.callCount += 1;
    return this.isDown ? unavailable(false) : ok(this.peek(key) ?? null);
  }

  async put(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, PlatformError>> {
    this.callCount += 1;
    if (this.isDown) {
      return unavailable(true);
    }
    const held = this.objects.get(key);
    if ((held?.version ?? 0) !== expected) {
      return fail({kind: 'conflict', current: held ?? null});
    }
    this.revision += 1;
    const copy: unknown = JSON.parse(JSON.stringify(value));
    this.objects.set(key, {key, version: this.revision, value: copy});
    [...this.waiters].forEach(wake => wake());
    if (this.responsesToDrop > 0) {
      this.responsesToDrop -= 1;
      return unavailable(true);
    }
    return ok(this.revision);
  }

  async list(prefix: string): Promise<Result<Listing, PlatformError>> {
    this.callCount += 1;
    return this.isDown ? unavailable(false) : ok(this.listAfter(prefix, 0));
  }

  async watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Listing, PlatformError>> {
    this.callCount += 1;
    if (this.isDown) {
      return unavailable(false);
    }
    if (this.listAfter(prefix, after).items.length === 0) {
      await this.waitForChange(waitMs, signal);
    }
    return this.isDown ? unavailable(false) : ok(this.listAfter(prefix, after));
  }

  async instances(): Promise<Result<readonly Instance[], PlatformError>> {
    this.callCount += 1;
    return this.isDown ? unavailable(false) : ok(this.instanceList);
  }

  /** Reads an object even during an outage. */
  peek(key: string): StoredObject | undefined {
    return this.objects.get(key);
  }

  close(): void {
    [...this.waiters].forEach(wake => wake());
  }

  private waitForChange(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const settle = () => {
        clearTimeout(timer);
        this.waiters.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, waitMs);
      this.waiters.add(settle);
      signal?.addEventListener('abort', settle, {once: true});
    });
  }

  private listAfter(prefix: string, after: number): Listing {
    const items = [...this.objects.values()].filter(
      object => object.version > after && object.key.startsWith(prefix),
    );
    return {revision: this.revision, items, removed: []};
  }
}

function unavailable(maybeApplied: boolean) {
  return fail({kind: 'unavailable' as const, maybeApplied});
}
