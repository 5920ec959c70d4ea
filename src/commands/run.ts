/** Running a long-lived process until a signal stops it. */
import {Log} from '../observability/log';
import {EXIT} from '../settings/command';

/** A process that can be stopped as planned, or at once. */
export interface Runnable {
  open(): Promise<unknown>;
  stop(): Promise<void>;
}

/**
 * Runs until SIGTERM or SIGINT, then stops as planned. A second signal ends
 * the process at once.
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
    log.event('settingRejected', {error: String(err)});
    endProcess(EXIT.unavailable);
  }
}

/** A stopped process must not linger for a timer or an idle socket. */
function endProcess(code: number): never {
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}
