const POLL_INTERVAL_MS = 20;
/** Maximum wait of a stop for calls of other processes: their usual timeout. */
export const MAX_DRAIN_MS = 2_000;

/** Polls until nothing is open or the timeout has passed. Returns true if idle. */
export async function waitUntilIdle(
  openCount: () => number,
  timeoutMs: number,
): Promise<boolean> {
  const deadlineAt = Date.now() + timeoutMs;
  while (openCount() > 0) {
    if (Date.now() >= deadlineAt) {
      return false;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return true;
}
