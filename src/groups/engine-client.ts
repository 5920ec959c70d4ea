/** Client of a sidecar for its own engine rank. */
import type * as http from 'node:http';
import * as httpClient from '../http/client';
import type {EngineRank, Fence, MapChange} from './types';

/** The engine's map interface; each order returns whether it was executed. */
export abstract class EngineClient {
  /** Undefined if the engine does not answer. */
  abstract read(): Promise<EngineRank | undefined>;
  /** Loads the moved experts in the background. */
  abstract stage(change: MapChange, fence: Fence): Promise<boolean>;
  /** Makes the rank stop before the change's step, until `switchTo` or `release`. */
  abstract hold(change: MapChange, fence: Fence): Promise<boolean>;
  /** Makes the rank use the new map from the change's step on. */
  abstract switchTo(change: MapChange, fence: Fence): Promise<boolean>;
  /** Lets the rank continue with the current map. */
  abstract release(change: MapChange, fence: Fence): Promise<boolean>;
  /** Sets the map of a rank in a re-formed group. */
  abstract form(change: MapChange, fence: Fence): Promise<boolean>;
}

const ORDER_TIMEOUT_MS = 1_000;
const STAGE_TIMEOUT_MS = 120_000;
const MAX_RESPONSE_BYTES = 64 * 1024;

export class HttpEngineClient extends EngineClient {
  constructor(
    private readonly agent: http.Agent,
    private readonly address: string,
    private readonly fetchRank: () => Promise<EngineRank | undefined>,
  ) {
    super();
  }

  read(): Promise<EngineRank | undefined> {
    return this.fetchRank();
  }

  stage(change: MapChange, fence: Fence): Promise<boolean> {
    return this.post('stage', {change, fence}, STAGE_TIMEOUT_MS);
  }

  hold(change: MapChange, fence: Fence): Promise<boolean> {
    return this.post('hold', {change, fence});
  }

  switchTo(change: MapChange, fence: Fence): Promise<boolean> {
    return this.post('switch', {change, fence});
  }

  release(change: MapChange, fence: Fence): Promise<boolean> {
    return this.post('release', {change, fence});
  }

  form(change: MapChange, fence: Fence): Promise<boolean> {
    const {generation, map} = change;
    return this.post('form', {generation, version: map.version, fence});
  }

  private async post(
    name: string,
    payload: unknown,
    timeoutMs = ORDER_TIMEOUT_MS,
  ): Promise<boolean> {
    const answer = await httpClient.fetchBuffered(
      this.agent,
      {
        address: this.address,
        method: 'POST',
        path: `/v1/map/${name}`,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(payload),
        timeoutMs,
      },
      MAX_RESPONSE_BYTES,
    );
    return answer.ok && answer.value.status === 200;
  }
}
