/** A caller that sends one small request after another and reads the answers. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import {HEADERS} from '../platform/names';

const PAUSE_MS = 60;
const ANSWER_BYTES = 64;
const TIME_LIMIT_MS = 5_000;
/** Source: the platform's list of statuses that promise that nothing ran. */
const NOT_RUN_STATUSES = [408, 413, 421, 429, 431, 503];

export interface EndedRequest {
  readonly id: string;
  /** 0: no whole answer. */
  readonly status: number;
  readonly isNotRun: boolean;
  /** A success with another request's id or size. */
  readonly isForeign: boolean;
}

let nextId = 0;

export class OrdinaryCaller {
  readonly ended: EndedRequest[] = [];
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 1});
  private isStopped = false;

  constructor(
    private readonly address: string,
    private readonly host: string,
  ) {}

  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.send();
      await timers.setTimeout(PAUSE_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
    this.agent.destroy();
  }

  /** Resolves with the status; 0: no whole answer. */
  send(): Promise<number> {
    nextId += 1;
    const id = `ordinary-${nextId}`;
    return new Promise(resolve => {
      const settle = (status: number, isForeign = false) => {
        const isNotRun = NOT_RUN_STATUSES.includes(status);
        this.ended.push({id, status, isNotRun, isForeign});
        resolve(status);
      };
      let hasAnswer = false;
      const req = http.request(
        `http://${this.address}/quick/20/${ANSWER_BYTES}`,
        {
          method: 'POST',
          agent: this.agent,
          headers: {
            host: this.host,
            [HEADERS.requestId]: id,
            [HEADERS.timeLeft]: String(TIME_LIMIT_MS),
          },
        },
        res => {
          hasAnswer = true;
          let size = 0;
          res.on('data', (chunk: Buffer) => (size += chunk.length));
          res.on('error', () => undefined);
          res.once('close', () => {
            const status = res.complete ? (res.statusCode ?? 0) : 0;
            const named = res.headers[HEADERS.requestId.toLowerCase()];
            const isForeign =
              status === 200 && (named !== id || size !== ANSWER_BYTES);
            settle(status, isForeign);
          });
        },
      );
      req.setTimeout(TIME_LIMIT_MS, () => req.destroy());
      req.once('error', () => {
        if (!hasAnswer) {
          settle(0);
        }
      });
      req.end('small');
    });
  }
}
