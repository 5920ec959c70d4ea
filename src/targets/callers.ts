/** Entries that called a sidecar recently; they are notified when it leaves. */
const RETENTION_MS = 60_000;
const MAX_CALLERS = 256;

export class RecentCallers {
  private readonly seenAt = new Map<string, number>();

  note(address: string, now: number): void {
    if (address === '') {
      return;
    }
    this.seenAt.delete(address);
    this.seenAt.set(address, now);
    if (this.seenAt.size > MAX_CALLERS) {
      const [oldest] = this.seenAt.keys();
      this.seenAt.delete(oldest!);
    }
  }

  recent(now: number): string[] {
    return [...this.seenAt]
      .filter(([, at]) => now - at < RETENTION_MS)
      .map(([address]) => address);
  }
}
