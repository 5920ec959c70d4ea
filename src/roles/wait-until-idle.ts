const POLL_INTERVAL_MS = 20;

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
