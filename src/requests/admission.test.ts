import {Admission, Applicant, Ticket} from './admission';
import type {Refusal} from './refusals';
import type {Result} from '../result';
import {HALF_OPEN_MS} from '../targets/cooldown';

function applicant(): Applicant {
  return {
    account: 'a',
    weight: 1,
    priority: 0,
    cost: 1,
    deadlineAt: Date.now() + 10_000,
  };
}

function kindOf(entered: Result<Ticket, Refusal>): string {
  return entered.ok ? 'let-in' : entered.error.kind;
}

function release(entered: Result<Ticket, Refusal>): void {
  if (entered.ok) {
    entered.value.release();
  }
}

describe('the admission to a target that has asked for rest', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  function makeAdmission(): Admission {
    return new Admission(() => ({capacity: 4, maxQueued: 10}));
  }

  it('refuses at once, with when it is over', async () => {
    const admission = makeAdmission();
    expect(admission.askRest(2_000)).toBe(true);
    jest.advanceTimersByTime(500);
    const entered = await admission.enter(applicant());
    expect(entered).toMatchObject({
      ok: false,
      error: {kind: 'resting', outcome: 'not-run'},
    });
    const retryAfterMs = entered.ok ? 0 : entered.error.retryAfterMs!;
    expect(retryAfterMs).toBeGreaterThanOrEqual(1_500);
    expect(retryAfterMs).toBeLessThanOrEqual(1_700);
    expect(admission.askRest(10)).toBe(false);
  });

  it('refuses what is queued as the target asks', async () => {
    const admission = makeAdmission();
    const entering = Array.from({length: 6}, () =>
      admission.enter(applicant()),
    );
    expect(admission.queuedCount).toBe(2);
    admission.askRest(2_000);
    expect(admission.queuedCount).toBe(0);
    const kinds = (await Promise.all(entering)).map(kindOf);
    expect(kinds.slice(4)).toEqual(['resting', 'resting']);
  });

  it('lets one in at a time after it, until one is taken', async () => {
    const admission = makeAdmission();
    admission.askRest(1_000);
    jest.advanceTimersByTime(1_101);
    const sentAt = performance.now();
    const entering = Array.from({length: 5}, () =>
      admission.enter(applicant()),
    );
    expect(admission.runningCount).toBe(1);
    release(await entering[0]!);
    expect(admission.runningCount).toBe(1);
    admission.noteTaken(sentAt);
    expect(admission.runningCount).toBe(4);
    expect((await Promise.all(entering)).map(kindOf)).toEqual(
      entering.map(() => 'let-in'),
    );
  });

  it('lets the others in where the one that is tried hangs', async () => {
    const admission = makeAdmission();
    admission.askRest(1_000);
    jest.advanceTimersByTime(1_101);
    const entering = Array.from({length: 4}, () =>
      admission.enter(applicant()),
    );
    expect(admission.runningCount).toBe(1);
    jest.advanceTimersByTime(HALF_OPEN_MS);
    expect(admission.runningCount).toBe(4);
    await Promise.all(entering);
  });
});
