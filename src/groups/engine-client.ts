/** A sidecar's orders to its own engine rank. */
import type * as http from 'node:http';
import * as httpClient from '../http/client';
import type {EngineRank, Fence, MapChange} from './types';

/** The engine's interface for maps; each order answers whether it was done. */
export abstract class EngineClient {
  /** Undefined where the engine does not answer. */
  abstract read(): Promise<EngineRank | undefined>;
  /** Loads the moved experts in the background. */
  abstract stage(change: MapChange, fence: Fence): Promise<boolean>;
  /** Makes the rank stop before the change's step until told. */
  abstract hold(change: MapChange, fence: Fence): Promise<boolean>;
  /** Makes the rank run the new map from the change's step on. */
  abstract switchTo(change: MapChange, fence: Fence): Promise<boolean>;
  /** Lets the rank go on with the map in force. */
  abstract release(change: MapChange, fence: Fence): Promise<boolean>;
  /** Gives a rank of a re-formed group its map. */
  abstract form(change: MapChange, fence: Fence): Promise<boolean>;
}

const ORDER_TIMEOUT_MS = 1_000;
const STAGE_TIMEOUT_MS = 120_000;
const MAX_RESPONSE_BYTES = 64 * 1024;

/** Orders over the engine's HTTP face. */
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
    document: unknown,
    timeoutMs = ORDER_TIMEOUT_MS,
  ): Promise<boolean> {
    const answer = await httpClient.fetchBuffered(
      this.agent,
      {
        address: this.address,
        method: 'POST',
        path: `/v1/map/${name}`,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(document),
        timeoutMs,
      },
      MAX_RESPONSE_BYTES,
    );
    return answer.ok && answer.value.status === 200;
  }
}
