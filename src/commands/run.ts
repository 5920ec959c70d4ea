/** Runs a process until it receives a signal to stop. */
import {Log} from '../observability/log';
import {EXIT} from '../settings/command';

export interface Runnable {
  open(): Promise<unknown>;
  /** Stops gracefully. */
  stop(): Promise<void>;
}

/**
 * Runs until SIGTERM or SIGINT, then stops gracefully. A second signal ends the
 * process at once, with `EXIT.failed`; a failure to open with
 * `EXIT.unavailable`.
 */
export async function runUntilSignal(
  runnable: Runnable,
  log: Log,
): Promise<void> {
  let signals = 0;
  const onSignal = () => {
    signals += 1;
    if (signals > 1) {
      log.event('stopForced');
      endProcess(EXIT.failed);
    }
    void runnable.stop().then(() => {
      log.event('processStopped');
      endProcess(EXIT.ok);
    });
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  try {
    await runnable.open();
  } catch (err) {
    if (signals > 0) {
      // The stop has ended what the process was waiting for.
      return;
    }
    const isHeld = (err as NodeJS.ErrnoException).code === 'EADDRINUSE';
    const event = isHeld ? 'portUnavailable' : 'settingRejected';
    log.event(event, {error: String(err)});
    endProcess(EXIT.unavailable);
  }
}

/** Exits even if timers or idle sockets are still open. */
function endProcess(code: number): never {
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}
