/**
 * Stand-in for a model engine: one process that hosts the ranks of a group,
 * each with its own HTTP server. Streams can be resumed and cancelled, and
 * orders change the expert map. Tokens are derived from the prompt; there is no
 * model.
 */
import {createHash} from 'node:crypto';
import type * as http from 'node:http';
import * as v from 'valibot';
import {fenceSchema, mapChangeSchema} from '../src/groups/types';
import {joinAddress, splitAddress} from '../src/http/address';
import * as body from '../src/http/body';
import * as httpServer from '../src/http/server';
import * as group from './engine-group';
import * as faults from './faults';

const MAX_BODY_BYTES = 8 * 1024 * 1024;
const DEFAULT_OUTPUT_TOKENS = 16;
const MAX_OUTPUT_TOKENS = 4_096;
const PREFILL_TOKENS_PER_STEP = 2_048;
const CHARACTERS_PER_TOKEN = 4;
const STREAM_RETENTION_MS = 60_000;
const STEP_MS_PER_STREAM = 0.05;

const chatSchema = v.object({
  model: v.string(),
  messages: v.array(v.object({role: v.string(), content: v.unknown()})),
  stream: v.optional(v.boolean(), false),
  max_tokens: v.optional(
    v.pipe(
      v.number(),
      v.integer(),
      v.minValue(1),
      v.maxValue(MAX_OUTPUT_TOKENS),
    ),
    DEFAULT_OUTPUT_TOKENS,
  ),
});

const orderSchema = v.object({fence: fenceSchema, change: mapChangeSchema});
const formSchema = v.object({
  fence: fenceSchema,
  generation: v.number(),
  version: v.number(),
});

interface Stream {
  readonly name: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  prefillTokensLeft: number;
  readonly events: string[];
  listener: (() => void) | undefined;
  isCancelled: boolean;
  endedAt: number | undefined;
}

/** One rank's streams, injected faults and expert counts. */
class Rank implements group.StepRunner {
  readonly faults: faults.EngineFaults = {
    cutAfter: null,
    doubled: false,
    reordered: false,
    lateMs: 0,
    slowness: 1,
    foreign: false,
    retryAfter: null,
  };
  readonly rejections = new faults.RejectionLog();
  readonly streams = new Map<string, Stream>();
  readonly counts: number[][];
  cancelled = 0;

  constructor(
    private readonly stepMs: number,
    layers: number,
    experts: number,
  ) {
    this.counts = Array.from({length: layers}, () =>
      new Array<number>(experts).fill(0),
    );
  }

  get running(): Stream[] {
    return [...this.streams.values()].filter(s => s.endedAt === undefined);
  }

  get prefillTokens(): number {
    return this.running.reduce((sum, s) => sum + s.prefillTokensLeft, 0);
  }

  runStep(): number {
    let prefillBudget = PREFILL_TOKENS_PER_STEP;
    const running = this.running;
    for (const stream of running) {
      if (stream.prefillTokensLeft > 0) {
        const read = Math.min(prefillBudget, stream.prefillTokensLeft);
        stream.prefillTokensLeft -= read;
        prefillBudget -= read;
      } else {
        this.emitToken(stream);
      }
    }
    this.removeExpiredStreams();
    return (
      (this.stepMs + running.length * STEP_MS_PER_STREAM) * this.faults.slowness
    );
  }

  openStream(name: string, chat: v.InferOutput<typeof chatSchema>): Stream {
    const prompt = JSON.stringify(chat.messages);
    const stream: Stream = {
      name,
      model: chat.model,
      prompt,
      maxTokens: chat.max_tokens,
      prefillTokensLeft: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      events: [],
      listener: undefined,
      isCancelled: false,
      endedAt: undefined,
    };
    this.streams.set(name, stream);
    return stream;
  }

  cancelStream(name: string): boolean {
    const stream = this.streams.get(name);
    if (stream === undefined || stream.endedAt !== undefined) {
      return false;
    }
    stream.isCancelled = true;
    stream.endedAt = Date.now();
    this.cancelled += 1;
    stream.listener?.();
    return true;
  }

  private emitToken(stream: Stream): void {
    const index = stream.events.length;
    stream.events.push(eventData(stream, tokenAt(stream, index)));
    for (const [layer, counts] of this.counts.entries()) {
      const expert = (index * 7 + layer * 3) % counts.length;
      counts[expert] = counts[expert]! + 1;
    }
    if (stream.events.length >= stream.maxTokens) {
      stream.events.push('[DONE]');
      stream.endedAt = Date.now();
    }
    stream.listener?.();
  }

  private removeExpiredStreams(): void {
    const before = Date.now() - STREAM_RETENTION_MS;
    for (const [name, stream] of this.streams) {
      if (stream.endedAt !== undefined && stream.endedAt < before) {
        this.streams.delete(name);
      }
    }
  }
}

/** Derives the token from the prompt, so that mixed-up streams differ. */
function tokenAt(stream: Stream, index: number): string {
  const digest = createHash('sha256').update(stream.prompt).digest('hex');
  return `${digest.slice(0, 6)}-${index + 1} `;
}

function eventData(stream: Stream, content: string): string {
  return JSON.stringify({
    id: stream.name,
    object: 'chat.completion.chunk',
    model: stream.model,
    choices: [{index: 0, delta: {content}, finish_reason: null}],
  });
}

/** Text that a stand-in engine generates for the messages. */
export function expectedText(messages: unknown, tokens: number): string {
  const digest = createHash('sha256')
    .update(JSON.stringify(messages))
    .digest('hex');
  let text = '';
  for (let index = 0; index < tokens; index += 1) {
    text += `${digest.slice(0, 6)}-${index + 1} `;
  }
  return text;
}

export interface EngineOptions extends group.GroupOptions {
  readonly maxRunning: number;
}

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  ranks: 4,
  stepMs: 5,
  layers: 2,
  experts: 16,
  stageMs: 20,
  checksFences: true,
  maxRunning: 32,
};

export class EngineStandin {
  readonly group: group.EngineGroup;
  private readonly ranks: Rank[] = [];
  private readonly listeners: httpServer.Listener[] = [];

  constructor(
    private readonly options: EngineOptions = DEFAULT_ENGINE_OPTIONS,
  ) {
    for (let rankIndex = 0; rankIndex < options.ranks; rankIndex += 1) {
      const {stepMs, layers, experts} = options;
      this.ranks.push(new Rank(stepMs, layers, experts));
    }
    this.group = new group.EngineGroup(options, this.ranks);
  }

  /**
   * Starts a server per rank and returns their addresses. Rank k listens on the
   * address's port plus k; all use free ports where the port is 0.
   */
  async open(address: string): Promise<string[]> {
    const {host, port} = splitAddress(address);
    for (const [rankIndex, rank] of this.ranks.entries()) {
      const rankAddress = joinAddress(host, port === 0 ? 0 : port + rankIndex);
      this.listeners.push(
        await httpServer.listen(
          rankAddress,
          (req, res) => this.handleRequest(rankIndex, rank, req, res),
          () => undefined,
        ),
      );
    }
    this.group.start();
    return this.listeners.map(listener => listener.address);
  }

  async close(): Promise<void> {
    this.group.close();
    await Promise.all(this.listeners.map(listener => listener.close()));
  }

  private async handleRequest(
    rankIndex: number,
    rank: Rank,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://standin');
    const path = url.pathname;
    if (path === '/v1/chat/completions') {
      await this.startChat(rank, req, res);
    } else if (path.startsWith('/v1/streams/')) {
      const name = path.slice('/v1/streams/'.length);
      this.handleStream(rank, req, res, name, url.searchParams);
    } else if (path === '/v1/rank') {
      body.sendJson(res, 200, this.describe(rankIndex, rank));
    } else if (path.startsWith('/v1/map/')) {
      await this.handleOrder(
        rankIndex,
        path.slice('/v1/map/'.length),
        req,
        res,
      );
    } else if (path.startsWith('/standin/')) {
      await this.handleControl(rank, path, req, res);
    } else {
      req.resume();
      body.sendJson(res, 404, {});
    }
  }

  private describe(rankIndex: number, rank: Rank) {
    return {
      ...this.group.describe(rankIndex),
      counts: rank.counts,
      running: rank.running.length,
      maxRunning: this.options.maxRunning,
      prefillTokens: rank.prefillTokens,
    };
  }

  private async startChat(
    rank: Rank,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const {retryAfter} = rank.faults;
    if (retryAfter !== null) {
      rank.rejections.reject(req, res, retryAfter);
      return;
    }
    const read = await body.readJson(req, MAX_BODY_BYTES);
    const chat = v.safeParse(chatSchema, read.ok ? read.value : undefined);
    const name = body.headerOf(req, 'ferrycleat-stream') ?? '';
    if (!chat.success || name === '') {
      body.sendJson(res, 400, {
        error: {message: 'malformed chat completion request'},
      });
      return;
    }
    if (rank.running.length >= this.options.maxRunning) {
      body.sendJson(res, 503, {error: {message: 'engine is full'}});
      return;
    }
    const stream = rank.openStream(name, chat.output);
    if (rank.faults.lateMs > 0) {
      await new Promise(wake => setTimeout(wake, rank.faults.lateMs));
    }
    if (chat.output.stream) {
      this.sendEvents(rank, stream, res, 0);
    } else {
      res.once('close', () => rank.cancelStream(name));
      this.sendCompletion(rank, stream, res);
    }
  }

  private handleStream(
    rank: Rank,
    req: http.IncomingMessage,
    res: http.ServerResponse,
    name: string,
    query: URLSearchParams,
  ): void {
    if (req.method === 'DELETE') {
      body.sendJson(res, 200, {cancelled: rank.cancelStream(name)});
      return;
    }
    const stream = rank.streams.get(name);
    if (stream === undefined || stream.isCancelled) {
      body.sendJson(res, 404, {});
      return;
    }
    this.sendEvents(rank, stream, res, Number(query.get('after') ?? 0));
  }

  private sendCompletion(
    rank: Rank,
    stream: Stream,
    res: http.ServerResponse,
  ): void {
    const sendIfEnded = () => {
      if (stream.endedAt === undefined || stream.isCancelled) {
        return;
      }
      const tokens = stream.events
        .slice(0, -1)
        .map((_, index) => tokenAt(stream, index));
      body.sendJson(
        res,
        200,
        {
          id: stream.name,
          object: 'chat.completion',
          model: stream.model,
          choices: [
            {
              index: 0,
              message: {role: 'assistant', content: tokens.join('')},
              finish_reason: 'stop',
            },
          ],
        },
        {'ferrycleat-stream': this.streamNameFor(rank, stream)},
      );
    };
    stream.listener = sendIfEnded;
    sendIfEnded();
  }

  private sendEvents(
    rank: Rank,
    stream: Stream,
    res: http.ServerResponse,
    after: number,
  ): void {
    const name = this.streamNameFor(rank, stream);
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'ferrycleat-stream': name,
    });
    res.flushHeaders();
    let sent = after;
    const send = () => {
      const heldBack = this.heldBackCount(rank, stream);
      while (sent < stream.events.length - heldBack && !res.destroyed) {
        sent += this.sendNext(rank, stream, res, name, sent);
        const cutAfter = rank.faults.cutAfter;
        if (cutAfter !== null && sent >= cutAfter) {
          rank.faults.cutAfter = null;
          res.destroy();
          return;
        }
      }
      if (stream.endedAt !== undefined && sent >= stream.events.length) {
        res.end();
      }
    };
    stream.listener = send;
    send();
  }

  /** Number of events to hold back, to be swapped with the next one. */
  private heldBackCount(rank: Rank, stream: Stream): number {
    return rank.faults.reordered && stream.endedAt === undefined ? 1 : 0;
  }

  /** Sends the next event or swapped pair; returns how many it has sent. */
  private sendNext(
    rank: Rank,
    stream: Stream,
    res: http.ServerResponse,
    name: string,
    sent: number,
  ): number {
    const format = (index: number) =>
      `id: ${name}.${index + 1}\ndata: ${stream.events[index]}\n\n`;
    if (rank.faults.reordered && sent + 1 < stream.events.length) {
      res.write(format(sent + 1) + format(sent));
      return 2;
    }
    res.write(rank.faults.doubled ? format(sent) + format(sent) : format(sent));
    return 1;
  }

  private streamNameFor(rank: Rank, stream: Stream): string {
    return rank.faults.foreign ? 'another-request' : stream.name;
  }

  private async handleOrder(
    rankIndex: number,
    order: string,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const read = await body.readJson(req, MAX_BODY_BYTES);
    const value = read.ok ? read.value : undefined;
    if (order === 'form') {
      const form = v.safeParse(formSchema, value);
      const done =
        form.success &&
        this.group.setInitialMap(
          rankIndex,
          form.output.generation,
          form.output.version,
        );
      body.sendJson(res, done ? 200 : 409, {done});
      return;
    }
    const parsed = v.safeParse(orderSchema, value);
    if (!parsed.success) {
      body.sendJson(res, 400, {error: parsed.issues[0].message});
      return;
    }
    const {fence, change} = parsed.output;
    if (!this.group.checkFence(rankIndex, fence)) {
      body.sendJson(res, 409, {done: false, error: 'old fence'});
      return;
    }
    const done = await this.runOrder(rankIndex, order, change);
    body.sendJson(res, done ? 200 : 409, {done});
  }

  private async runOrder(
    rankIndex: number,
    order: string,
    change: v.InferOutput<typeof mapChangeSchema>,
  ): Promise<boolean> {
    switch (order) {
      case 'stage':
        await this.group.stage(rankIndex, change.map.version);
        return true;
      case 'hold':
        return this.group.hold(rankIndex, change);
      case 'switch':
        return this.group.switchAt(rankIndex, change);
      case 'release':
        return this.group.release(rankIndex, change.id);
      default:
        return false;
    }
  }

  private async handleControl(
    rank: Rank,
    path: string,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    if (path === '/standin/steps') {
      const {steps, mixedSteps, blockedMs, records} = this.group;
      const {cancelled} = rank;
      const seen = {steps, mixedSteps, blockedMs, records, cancelled};
      body.sendJson(res, 200, seen);
      return;
    }
    if (path === '/standin/turned-away') {
      rank.rejections.sendArrivals(res);
      return;
    }
    if (path === '/standin/restart') {
      this.group.restart();
      body.sendJson(res, 200, {});
      return;
    }
    const read = await body.readJson(req, MAX_BODY_BYTES);
    const value = read.ok ? read.value : undefined;
    const parsed = v.safeParse(faults.engineFaultsSchema, value);
    if (parsed.success) {
      Object.assign(rank.faults, parsed.output);
    }
    body.sendJson(res, parsed.success ? 200 : 400, {});
  }
}
