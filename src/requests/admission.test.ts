import {Admission, AdmissionRequest, Ticket} from './admission';
import type {Refusal} from './refusals';
import type {Result} from '../result';
import {HALF_OPEN_MS} from '../targets/cooldown';

function makeRequest(): AdmissionRequest {
  return {
    account: 'a',
    weight: 1,
    priority: 0,
    cost: 1,
    deadlineAt: Date.now() + 10_000,
  };
}

function kindOf(admitted: Result<Ticket, Refusal>): string {
  return admitted.ok ? 'admitted' : admitted.error.kind;
}

function release(admitted: Result<Ticket, Refusal>): void {
  if (admitted.ok) {
    admitted.value.release();
  }
}

describe('admission to a target in a cooldown', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  function makeAdmission(): Admission {
    return new Admission(() => ({capacity: 4, maxQueued: 10}));
  }

  it('refuses at once and says when the cooldown ends', async () => {
    const admission = makeAdmission();
    expect(admission.startCooldown(2_000)).toBe(true);
    jest.advanceTimersByTime(500);
    const admitted = await admission.admit(makeRequest());
    expect(admitted).toMatchObject({
      ok: false,
      error: {kind: 'resting', outcome: 'not-run'},
    });
    const retryAfterMs = admitted.ok ? 0 : admitted.error.retryAfterMs!;
    expect(retryAfterMs).toBeGreaterThanOrEqual(1_500);
    expect(retryAfterMs).toBeLessThanOrEqual(1_700);
    expect(admission.startCooldown(10)).toBe(false);
  });

  it('refuses queued requests when the cooldown starts', async () => {
    const admission = makeAdmission();
    const admitting = Array.from({length: 6}, () =>
      admission.admit(makeRequest()),
    );
    expect(admission.queuedCount).toBe(2);
    admission.startCooldown(2_000);
    expect(admission.queuedCount).toBe(0);
    const kinds = (await Promise.all(admitting)).map(kindOf);
    expect(kinds.slice(4)).toEqual(['resting', 'resting']);
  });

  it('admits one request at a time after it, until one is accepted', async () => {
    const admission = makeAdmission();
    admission.startCooldown(1_000);
    jest.advanceTimersByTime(1_101);
    const sentAt = performance.now();
    const admitting = Array.from({length: 5}, () =>
      admission.admit(makeRequest()),
    );
    expect(admission.runningCount).toBe(1);
    release(await admitting[0]!);
    expect(admission.runningCount).toBe(1);
    admission.noteAccepted(sentAt);
    expect(admission.runningCount).toBe(4);
    expect((await Promise.all(admitting)).map(kindOf)).toEqual(
      admitting.map(() => 'admitted'),
    );
  });

  it('admits the others if the one admitted request hangs', async () => {
    const admission = makeAdmission();
    admission.startCooldown(1_000);
    jest.advanceTimersByTime(1_101);
    const admitting = Array.from({length: 4}, () =>
      admission.admit(makeRequest()),
    );
    expect(admission.runningCount).toBe(1);
    jest.advanceTimersByTime(HALF_OPEN_MS);
    expect(admission.runningCount).toBe(4);
    await Promise.all(admitting);
  });
});
