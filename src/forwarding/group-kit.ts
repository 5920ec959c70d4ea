/** An engine's group and a route to it, for tests of the capacity of groups. */
import type {EngineParameters, Route} from '../routes/types';

export const ENGINE: EngineParameters = {
  slots: 7,
  stepMs: 4.55,
  perSequenceMs: 1.557,
  perContextKMs: 0.0314,
  promptTokensPerSecond: 61_400,
  chunkTokens: 512,
  stride: 5,
  meanPromptTokens: 868,
  meanAnswerTokens: 97,
  experts: {
    sets: 12,
    experts: 144,
    places: 3,
    spare: 2,
    share: 0.85,
    copyMs: 76,
    formMs: 600,
  },
};

export const ROUTE: Route = {
  name: 'stream',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream',
  services: [{service: 's', weight: 1}],
  timeoutMs: 8_000,
  latencyObjectiveMs: 503,
  pauseMs: 150,
  attempts: 2,
  priority: 1,
  isPublic: true,
  isResumable: true,
};
