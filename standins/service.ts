/**
 * Stand-in for a plain service: a ledger with balances and top-ups. Counts the
 * runs of each idempotency key, so that tests detect a second run.
 */
import type * as http from 'node:http';
import * as v from 'valibot';
import * as body from '../src/http/body';
import * as httpServer from '../src/http/server';
import * as faults from './faults';

const MAX_BODY_BYTES = 1024 * 1024;

const topUpSchema = v.object({
  phone: v.string(),
  amount: v.pipe(v.number(), v.minValue(0)),
});

/** Runs by idempotency key; instances of the service can share one map. */
export type RunCounts = Map<string, number>;

export class ServiceStandin {
  private readonly faults: faults.ServiceFaults = {
    runMs: 0,
    loseAnswers: 0,
    failing: false,
    retryAfter: null,
  };
  private readonly rejections = new faults.RejectionLog();
  private listener: httpServer.Listener | undefined;

  constructor(private readonly runs: RunCounts = new Map()) {}

  async open(address: string): Promise<string> {
    this.listener = await httpServer.listen(
      address,
      (req, res) => this.handleRequest(req, res),
      () => undefined,
    );
    return this.listener.address;
  }

  async close(): Promise<void> {
    await this.listener?.close();
  }

  private async handleRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://standin');
    const headers = {
      'ferrycleat-request': body.headerOf(req, 'ferrycleat-request') ?? '',
    };
    if (url.pathname === '/standin/faults') {
      await this.setFaults(req, res);
    } else if (url.pathname === '/standin/turned-away') {
      this.rejections.sendArrivals(res);
    } else if (this.faults.retryAfter !== null) {
      this.rejections.reject(req, res, this.faults.retryAfter);
    } else if (url.pathname === '/runs') {
      body.sendJson(res, 200, Object.fromEntries(this.runs), headers);
    } else if (this.faults.failing) {
      req.resume();
      body.sendJson(res, 500, {error: 'stand-in set to fail'}, headers);
    } else if (url.pathname.startsWith('/balances/')) {
      const member = url.pathname.slice('/balances/'.length);
      body.sendJson(res, 200, {member, balance: 125.5}, headers);
    } else if (url.pathname === '/top-ups' && req.method === 'POST') {
      await this.topUp(req, res, headers);
    } else {
      req.resume();
      body.sendJson(res, 404, {error: 'not found'}, headers);
    }
  }

  private async topUp(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    headers: http.OutgoingHttpHeaders,
  ): Promise<void> {
    const read = await body.readJson(req, MAX_BODY_BYTES);
    const parsed = v.safeParse(topUpSchema, read.ok ? read.value : undefined);
    if (!parsed.success) {
      body.sendJson(
        res,
        400,
        {error: 'expected a phone and an amount of at least 0'},
        headers,
      );
      return;
    }
    const key = body.headerOf(req, 'idempotency-key') ?? '';
    const count = (this.runs.get(key) ?? 0) + 1;
    this.runs.set(key, count);
    if (this.faults.runMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.faults.runMs));
    }
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      res.destroy();
      return;
    }
    const receipt = {receipt: key, ...parsed.output, run: count};
    body.sendJson(res, 201, receipt, headers);
  }

  private async setFaults(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const read = await body.readJson(req, MAX_BODY_BYTES);
    const value = read.ok ? read.value : undefined;
    const parsed = v.safeParse(faults.serviceFaultsSchema, value);
    if (parsed.success) {
      Object.assign(this.faults, parsed.output);
    }
    body.sendJson(res, parsed.success ? 200 : 400, {});
  }
}
