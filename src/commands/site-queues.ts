/** The command `site queues`: what waits at entries. */
import {splitAddress} from '../http/address';
import {EXIT} from '../settings/command';
import * as queuesView from './queues-view';

/** Prints the queues of entries; sets the exit code. */
export async function showQueues(addresses: readonly string[]): Promise<void> {
  const invalid = addresses.find(address => !hasPort(address));
  if (invalid !== undefined) {
    process.stderr.write(`error: ${invalid} is not host:port\n`);
    process.exitCode = EXIT.badUsage;
    return;
  }
  const answers = await queuesView.fetchPages(addresses);
  process.stdout.write(queuesView.formatAnswers(answers) + '\n');
  if (answers.some(({page}) => !page.ok)) {
    process.exitCode = EXIT.failed;
  }
}

function hasPort(address: string): boolean {
  const MAX_PORT = 65535;
  const {host, port} = splitAddress(address);
  return host !== '' && port <= MAX_PORT;
}
