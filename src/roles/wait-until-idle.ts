/** Waiting for work in flight. */
const POLL_INTERVAL_MS = 20;

/** Resolves once nothing is open, or after the patience. True: idle. */
export async function waitUntilIdle(
  openCount: () => number,
  patienceMs: number,
): Promise<boolean> {
  const giveUpAt = Date.now() + patienceMs;
  while (openCount() > 0) {
    if (Date.now() >= giveUpAt) {
      return false;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return true;
}
