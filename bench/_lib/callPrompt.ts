import { request, type Dispatcher } from 'undici';
import { engineStreamLineSchema } from '@endivegate/contracts';

/** One streamed answer as the caller received it. */
export interface StreamedAnswer {
  readonly status: number;
  /** Time from sending to the first token; undefined if no token arrived. */
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly text: string;
  /** Whether the stream ended with its end marker. */
  readonly isComplete: boolean;
  readonly requestId: string | undefined;
  /** Whether the request was executed, as the error body or headers report. */
  readonly ran: string | undefined;
  /** Error code reported before or within the stream. */
  readonly errorCode: string | undefined;
}

/** A prompt sent to an entry. */
export interface EntryPrompt {
  readonly entryUrl: string;
  readonly token: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly dispatcher: Dispatcher;
  readonly signal?: AbortSignal;
}

interface SseBody {
  readonly choices?: readonly {
    readonly text?: string;
    readonly finish_reason?: string | null;
  }[];
  readonly error?: { readonly code: string; readonly ran: string };
}

/**
 * Sends a prompt to an entry and reads its streamed answer.
 *
 * @param prompt - The prompt and where to send it.
 * @returns The answer, or the error that was reported.
 */
export async function callEntry(prompt: EntryPrompt): Promise<StreamedAnswer> {
  const startedAtMs = performance.now();
  const response = await request(`${prompt.entryUrl}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${prompt.token}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: prompt.model,
      prompt: prompt.prompt,
      max_tokens: prompt.maxTokens,
      stream: true,
    }),
    dispatcher: prompt.dispatcher,
    headersTimeout: 0,
    bodyTimeout: 0,
    ...(prompt.signal ? { signal: prompt.signal } : {}),
  });
  const requestId = getHeader(response, 'x-request-id');
  let ran = getHeader(response, 'endivegate-ran');
  let firstTokenMs: number | undefined;
  let text = '';
  let isComplete = false;
  let errorCode: string | undefined;
  const handleData = (data: string): void => {
    if (data === '[DONE]') {
      isComplete = true;
      return;
    }
    const body = JSON.parse(data) as SseBody;
    if (body.error) {
      errorCode = body.error.code;
      ran = body.error.ran;
    }
    const token = body.choices?.[0]?.text ?? '';
    if (token !== '') firstTokenMs ??= performance.now() - startedAtMs;
    text += token;
  };
  if (response.statusCode === 200) {
    for await (const line of readLines(response.body)) {
      if (line.startsWith('data: ')) handleData(line.slice('data: '.length));
    }
  } else {
    handleData(await response.body.text());
  }
  return {
    status: response.statusCode,
    firstTokenMs,
    totalMs: performance.now() - startedAtMs,
    text,
    isComplete,
    requestId,
    ran,
    errorCode,
  };
}

/** A prompt sent directly to an engine, bypassing the entries. */
export interface EnginePrompt {
  readonly engineUrl: string;
  readonly attemptId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly dispatcher: Dispatcher;
}

/**
 * Sends a prompt to an engine and reads its streamed answer.
 *
 * @param prompt - The prompt and where to send it.
 * @returns The answer.
 */
export async function callEngine(
  prompt: EnginePrompt,
): Promise<StreamedAnswer> {
  const startedAtMs = performance.now();
  const response = await request(`${prompt.engineUrl}/v1/attempts`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      attemptId: prompt.attemptId,
      model: prompt.model,
      prompt: prompt.prompt,
      promptTokens: Math.ceil(prompt.prompt.length / 4),
      maxOutputTokens: prompt.maxTokens,
      priority: 5,
      timeoutMs: 60_000,
      prefixHashes: [],
    }),
    dispatcher: prompt.dispatcher,
  });
  let firstTokenMs: number | undefined;
  let text = '';
  let isComplete = false;
  for await (const line of readLines(response.body)) {
    const item = engineStreamLineSchema.parse(JSON.parse(line));
    if (item.type === 'token') {
      firstTokenMs ??= performance.now() - startedAtMs;
      text += item.text;
    }
    isComplete = item.type === 'end';
  }
  return {
    status: response.statusCode,
    firstTokenMs,
    totalMs: performance.now() - startedAtMs,
    text,
    isComplete,
    requestId: undefined,
    ran: undefined,
    errorCode: undefined,
  };
}

function getHeader(
  response: Dispatcher.ResponseData,
  name: string,
): string | undefined {
  const value = response.headers[name];
  return typeof value === 'string' ? value : undefined;
}

async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let incompleteLine = '';
  for await (const chunk of chunks) {
    const lines = (
      incompleteLine + decoder.decode(chunk, { stream: true })
    ).split('\n');
    incompleteLine = lines.pop() ?? '';
    yield* lines.filter((line) => line !== '');
  }
}
