import * as crowds from '../platform/crowd-kit';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';
import * as site from './support/site';

const KIB = 1_024;
const MIB = 1_024 * KIB;
/** Limit of a body on the own path. */
const BODY_BYTES = 4 * MIB;
const HEAP_MEGABYTES = 64;
const MAX_MEGABYTES = 250;
const MAX_DESCRIPTORS = 1_000;
const ACT_MS = 8_000;
const RETRY_INTERVAL_MS = 100;
const AUTHORIZATION = `Authorization: Bearer ${site.API_KEYS.alpha}\r\n`;

describe.each(['entry-0', 'ledger-0', 'rank-0'])('%s outlives callers', id => {
  const chatPath = '/v1/chat/completions';
  const servicePath = id === 'rank-0' ? chatPath : '/ledger/top-ups';
  let fleet: fleets.Fleet;
  let crowd: crowds.Crowd;
  let usage: crowds.ProcessUsage;

  beforeEach(async () => {
    const before = process.env.NODE_OPTIONS;
    process.env.NODE_OPTIONS = `--max-old-space-size=${HEAP_MEGABYTES}`;
    try {
      fleet = await fleets.Fleet.start({entries: 1, ledgers: 1, ranks: 1});
    } finally {
      process.env.NODE_OPTIONS = before ?? '';
    }
    usage = new crowds.ProcessUsage(fleet.process(id).pid);
  });

  afterEach(async () => {
    crowd.close();
    usage.close();
    await fleet.close();
  });

  async function act(
    count: number,
    makeBytes: (at: number) => Iterable<Buffer>,
  ): Promise<void> {
    const plans = Array.from({length: count}, (_, at) => ({
      bytes: makeBytes(at),
      isReading: false,
    }));
    crowd = new crowds.Crowd(fleet.address(id), plans);
    await crowd.act(ACT_MS);
  }

  /** Resolves once an ordinary request is answered, unless the process ended. */
  async function whenServed(): Promise<number> {
    for (;;) {
      const {status} = await testHttp.call(
        fleet.address('entry-0'),
        'GET',
        '/ledger/balances/7',
        site.authHeaders('beta'),
      );
      if (status === 200 || !fleet.process(id).isAlive) {
        return status;
      }
      await fleets.pause(RETRY_INTERVAL_MS);
    }
  }

  async function checkProcess(): Promise<void> {
    expect(fleet.process(id).isAlive).toBe(true);
    expect(await whenServed()).toBe(200);
    expect(fleet.process(id).isAlive).toBe(true);
    expect(usage.peakMegabytes()).toBeLessThan(MAX_MEGABYTES);
    expect(usage.maxDescriptors).toBeLessThanOrEqual(MAX_DESCRIPTORS);
  }

  function head(method: string, path: string, fields: string): string {
    return crowds.headOf(method, path, AUTHORIZATION + fields);
  }

  test('one that leaves a body in chunks of one byte open', async () => {
    const upload = () =>
      crowds.endlessUpload(servicePath, BODY_BYTES - 1, 1, AUTHORIZATION);
    await act(1, upload);
    await checkProcess();
  });

  test('many that leave bodies in large chunks open', async () => {
    const upload = () =>
      crowds.endlessUpload(
        servicePath,
        BODY_BYTES - 1,
        64 * KIB,
        AUTHORIZATION,
      );
    await act(100, upload);
    await checkProcess();
  });

  test('many whose refused bodies go on', async () => {
    const upload = (at: number) =>
      crowds.endlessUpload('/none/x', 64 * MIB, at % 2 === 0 ? 1 : 64 * KIB);
    await act(20, upload);
    await checkProcess();
  });

  test('many that send requests ahead and leave the answers unread', async () => {
    const bytes = () =>
      crowds.requestsAhead(4_000, () => head('GET', '/ledger/balances/7', ''));
    await act(40, bytes);
    await checkProcess();
  });

  test('many that send requests ahead with unknown keys', async () => {
    const bytes = (caller: number) =>
      crowds.requestsAhead(10_000, at =>
        crowds.headOf(
          'GET',
          `/ledger/balances/${caller}-${at}`,
          `Authorization: Bearer key-${caller}-${at}\r\n`,
        ),
      );
    await act(40, bytes);
    await checkProcess();
  });

  test('calls of other processes that are left open', async () => {
    const upload = (at: number) =>
      crowds.endlessUpload('/rpc', 8 * MIB - 1, at % 2 === 0 ? 1 : 64 * KIB);
    await act(60, upload);
    await checkProcess();
  });
});
