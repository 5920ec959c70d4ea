/** Polls the engine behind a sidecar for the state of its rank. */
import type * as http from 'node:http';
import * as v from 'valibot';
import * as groups from '../groups/types';
import * as body from '../http/body';
import * as httpClient from '../http/client';
import * as retryAfter from '../http/retry-after';
import {Log} from '../observability/log';
import type {Result} from '../result';
import {Cooldown} from './cooldown';

const PROBE_INTERVAL_MS = 250;
const PROBE_TIMEOUT_MS = 1_000;
const MISSES_TO_UNREACHABLE = 3;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

export class EngineProbe {
  private latest: groups.EngineRank | undefined;
  private misses = 0;
  private timer: NodeJS.Timeout | undefined;
  private closed = false;
  /** Started by a probe that the engine refused with Retry-After. */
  private readonly cooldown = new Cooldown();

  constructor(
    private readonly agent: http.Agent,
    private readonly address: string,
    private readonly log: Log,
    private readonly onReading: (rank: groups.EngineRank) => void,
  ) {}

  get rank(): groups.EngineRank | undefined {
    return this.latest;
  }

  /** False after MISSES_TO_UNREACHABLE consecutive failed probes. */
  get isReachable(): boolean {
    return this.misses < MISSES_TO_UNREACHABLE;
  }

  start(): void {
    void this.poll();
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  /** Undefined if the engine does not answer or is in a cooldown. */
  async fetchRank(): Promise<groups.EngineRank | undefined> {
    if (this.cooldown.isActive(performance.now())) {
      return undefined;
    }
    const answer = await httpClient.fetchBuffered(
      this.agent,
      {
        address: this.address,
        method: 'GET',
        path: '/v1/rank',
        timeoutMs: PROBE_TIMEOUT_MS,
      },
      MAX_RESPONSE_BYTES,
    );
    this.applyRetryAfter(answer);
    const json = answer.ok ? body.parseJsonBytes(answer.value.body) : answer;
    const parsed = v.safeParse(
      groups.engineRankSchema,
      json.ok ? json.value : undefined,
    );
    this.recordReading(parsed.success ? parsed.output : undefined);
    return parsed.success ? parsed.output : undefined;
  }

  private async poll(): Promise<void> {
    const rank = await this.fetchRank();
    if (this.closed) {
      return;
    }
    if (rank !== undefined) {
      this.onReading(rank);
    }
    this.timer = setTimeout(() => void this.poll(), PROBE_INTERVAL_MS);
  }

  private applyRetryAfter(
    answer: Result<httpClient.HttpResponse, unknown>,
  ): void {
    const asked = answer.ok
      ? retryAfter.parseRetryAfter(answer.value.status, answer.value.headers)
      : undefined;
    if (asked?.kind === 'rest') {
      this.cooldown.start(asked.ms, performance.now());
    }
  }

  private recordReading(rank: groups.EngineRank | undefined): void {
    if (rank !== undefined) {
      this.latest = rank;
      this.misses = 0;
      return;
    }
    this.misses += 1;
    if (this.misses === MISSES_TO_UNREACHABLE) {
      this.log.event('targetUnreachable', {address: this.address});
    }
  }
}
