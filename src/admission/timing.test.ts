import type {EngineParameters} from '../routes/types';
import {waitingRequest} from './request-kit';
import * as timing from './timing';

const ENGINE: EngineParameters = {
  slots: 7,
  stepMs: 5,
  perSequenceMs: 0.1,
  perContextKMs: 0,
  promptTokensPerSecond: 10_000,
  chunkTokens: 256,
  stride: 4,
  meanPromptTokens: 800,
  meanAnswerTokens: 100,
  experts: undefined,
};

describe('the predicted times of a request', () => {
  it('count passes of the engine, from hints or means', () => {
    const prompt = {
      promptTokens: 2_000,
      maxAnswerTokens: 400,
      expectedAnswerTokens: 800,
    };
    // Two passes read the prompt; half of the answer takes 50 more.
    expect(timing.streamWork(ENGINE, prompt)).toEqual({
      firstUnits: 3,
      wholeUnits: 53,
      cost: 6_000,
    });
    expect(timing.streamWork(ENGINE, undefined)).toEqual({
      firstUnits: 2,
      wholeUnits: 14.5,
      cost: 1_800,
    });
  });

  // Guards against groups full of streams that end after their deadline.
  it('limit the wait to what can be completed', () => {
    const long = waitingRequest({
      isRetry: true,
      deadlineAt: 8_000,
      wholeUnits: 53,
    });
    expect(timing.lastUsefulStart(long, 100)).toBe(1_200);
    expect(timing.lastUsefulStart(long, 140)).toBe(580);
    expect(timing.lastUsefulStart(long, 160)).toBeLessThan(0);
  });

  // Guards against requests that are refused because they became late, and against
  // ones that are held until their caller has given up.
  it('let a request wait for late service while its caller does', () => {
    const first = waitingRequest();
    expect(timing.lastTimelyStart(first, 50)).toBe(200);
    expect(timing.lastUsefulStart(first, 50)).toBe(1_200);
    expect(timing.lastUsefulStart({...first, isRetry: true}, 50)).toBe(1_200);
    expect(timing.lastUsefulStart(first, 400)).toBe(1_100);
    const started = waitingRequest({isStarted: true, wholeUnits: 999});
    expect(timing.lastUsefulStart(started, 50)).toBe(1_200);
    // Callers leave after 2 s of silence, or after four times the objective.
    const long = {firstUnits: 10, wholeUnits: 20, deadlineAt: 8_000};
    const stream = waitingRequest({...long, objectiveAt: 500});
    expect(timing.lastUsefulStart(stream, 130)).toBe(700);
    const patient = waitingRequest({...long, objectiveAt: 550});
    expect(timing.lastUsefulStart(patient, 130)).toBe(900);
  });

  // Guards against measured durations that make all requests late on arrival:
  // which then starts would not depend on the rank.
  it('count a request as timely for a quarter of its objective at least', () => {
    const plain = waitingRequest({deadlineAt: 1_500});
    expect(timing.lastTimelyStart(plain, 240)).toBe(62.5);
    expect(timing.lastTimelyStart(plain, 9_000)).toBe(62.5);
    expect(timing.lastUsefulStart(plain, 9_000)).toBe(62.5);
    // The passes of an engine are not measured by these requests.
    const stream = waitingRequest({firstUnits: 2, wholeUnits: 9});
    expect(timing.lastTimelyStart(stream, 240)).toBe(-230);
  });

  it('predict the wait from the rate that higher priorities leave', () => {
    const rates = {perSecond: 100, higherPerSecond: 60};
    const wait = (higher: number, same: number) =>
      timing.predictWaitMs({higher, same}, rates, 0.1);
    expect(wait(0, 3.5)).toBe(100);
    expect(wait(4, 3.5)).toBe(200);
    // With a floor of ten per second, whatever waits ahead of it.
    expect(wait(1_000, 1.5)).toBe(200);
    const none = {perSecond: 0, higherPerSecond: 0};
    expect(timing.predictWaitMs({higher: 0, same: 9}, none, 0.1)).toBe(
      undefined,
    );
  });
});
