/** Parses the fields of a chat completion request that routing needs. */
import * as v from 'valibot';
import * as body from '../http/body';
import {Result, fail, ok} from '../result';
import * as refusals from './refusals';

const messageSchema = v.looseObject({
  role: v.string(),
  content: v.optional(v.unknown()),
});

const chatSchema = v.looseObject({
  model: v.pipe(v.string(), v.nonEmpty()),
  messages: v.pipe(v.array(messageSchema), v.minLength(1)),
  stream: v.optional(v.boolean(), false),
});

export interface ChatRequest {
  readonly model: string;
  readonly stream: boolean;
  /** The contents of all messages in order, joined by newlines. */
  readonly prompt: string;
}

/** Path of chat completions. Source: the OpenAI API's usual shape. */
export const CHAT_PATH = '/v1/chat/completions';
/** Path under which a sidecar resumes and cancels streams. */
export const STREAMS_PATH = '/v1/streams/';

/** Fails with `bad-request`. */
export function parseChat(text: Buffer): Result<ChatRequest, refusals.Refusal> {
  const json = body.parseJsonBytes(text);
  if (!json.ok) {
    return fail(refusals.notRun('bad-request', 'the body is not valid JSON'));
  }
  const parsed = v.safeParse(chatSchema, json.value);
  if (!parsed.success) {
    const issue = parsed.issues[0];
    const at = v.getDotPath(issue) ?? 'body';
    return fail(refusals.notRun('bad-request', `${at}: ${issue.message}`));
  }
  const {model, stream, messages} = parsed.output;
  const prompt = messages.map(message => textOf(message.content)).join('\n');
  return ok({model, stream, prompt});
}

function textOf(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
