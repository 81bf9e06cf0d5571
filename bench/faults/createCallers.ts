import { setTimeout as sleep } from 'node:timers/promises';
import type { Ran } from '@endivegate/contracts';
import type { HistoryEvent } from '@endivegate/core';
import { type Dispatcher, request } from 'undici';
import { callEntry } from '../_lib/callPrompt.ts';
import { TRIAL_MODEL, WORKSPACE_TOKEN } from '../_lib/trialSystem.ts';
import { MAX_TOKENS, type Recorder } from './createRecorder.ts';
import {
  CALL_DEADLINE_MS,
  type EntryProcess,
  PROMPT_DEADLINE_MS,
} from './startSystem.ts';

type Outcome = Extract<HistoryEvent, { type: 'caller.ended' }>['outcome'];

/** Result of a call as the entry reported it. */
interface CallResult {
  readonly requestId: string | undefined;
  readonly ran: Ran;
  readonly outcome: Outcome;
  readonly answer: string | undefined;
}

/** Options of {@link createCallers}. */
export interface CreateCallersOptions {
  readonly recorder: Recorder;
  readonly entries: readonly EntryProcess[];
  readonly dispatcher: Dispatcher;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Simulated callers that send prompts and payouts. */
export interface Callers {
  readonly sendPrompt: (bodyId: string, text?: string) => Promise<void>;
  /**
   * Sends a payout until it is answered, at most {@link MAX_PAYOUT_SENDS} times
   * with one idempotency key.
   */
  readonly sendPayout: (bodyId: string) => Promise<void>;
}

/** Time after the deadline during which a caller still waits for the answer. */
const ANSWER_GRACE_MS = 1_000;
const MAX_PAYOUT_SENDS = 4;
const RESEND_AFTER_MS = 700;

/**
 * Creates callers and records all their calls.
 *
 * @param options - Recorder, entries, dispatcher and random source.
 * @returns The callers.
 */
export function createCallers(options: CreateCallersOptions): Callers {
  const { recorder, dispatcher, random } = options;
  let calls = 0;

  async function record(
    sent: {
      readonly bodyId: string;
      readonly timeoutMs: number;
      readonly idempotencyKey?: string;
    },
    call: (entry: EntryProcess, signal: AbortSignal) => Promise<CallResult>,
  ): Promise<CallResult | undefined> {
    calls += 1;
    const callId = `call-${calls}`;
    const entry =
      options.entries[Math.floor(random() * options.entries.length)];
    if (!entry) return undefined;
    const startedAtMs = performance.now();
    recorder.add({
      type: 'caller.sent',
      atMs: startedAtMs,
      callId,
      bodyId: sent.bodyId,
      workspace: 'demo',
      idempotencyKey: sent.idempotencyKey,
      timeoutMs: sent.timeoutMs,
    });
    try {
      const signal = AbortSignal.timeout(sent.timeoutMs + ANSWER_GRACE_MS);
      const result = await call(entry, signal);
      const atMs = performance.now();
      const isLate = atMs > startedAtMs + sent.timeoutMs;
      const isDisturbed = entry.disturbedAtMs.some((at) => at > startedAtMs);
      if (isLate && isDisturbed) {
        recorder.add({ type: 'caller.lost', atMs, callId });
      }
      recorder.add({ type: 'caller.ended', atMs, callId, ...result });
      return result;
    } catch {
      // The call failed without an answer. This is excused only if the entry
      // was
      // killed or paused since 10 s before the call.
      const atMs = performance.now();
      const isExcused = entry.disturbedAtMs.some(
        (at) => at > startedAtMs - 10_000,
      );
      if (isExcused) recorder.add({ type: 'caller.lost', atMs, callId });
      return undefined;
    }
  }

  return {
    sendPrompt: async (bodyId, text = '') => {
      await record({ bodyId, timeoutMs: PROMPT_DEADLINE_MS }, (entry, signal) =>
        sendPromptTo(entry, { bodyId, text, signal, dispatcher }),
      );
    },
    sendPayout: async (bodyId) => {
      const idempotencyKey = `key-${bodyId}`;
      const sent = { bodyId, idempotencyKey, timeoutMs: CALL_DEADLINE_MS };
      for (let sends = 0; sends < MAX_PAYOUT_SENDS; sends += 1) {
        const result = await record(sent, (entry, signal) =>
          sendPayoutTo(entry, { bodyId, idempotencyKey, signal, dispatcher }),
        );
        if (result?.outcome === 'answered') return;
        await sleep(RESEND_AFTER_MS);
      }
    },
  };
}

async function sendPromptTo(
  entry: EntryProcess,
  prompt: {
    readonly bodyId: string;
    readonly text: string;
    readonly signal: AbortSignal;
    readonly dispatcher: Dispatcher;
  },
): Promise<CallResult> {
  const answer = await callEntry({
    entryUrl: entry.url,
    token: WORKSPACE_TOKEN,
    model: TRIAL_MODEL,
    prompt: `<${prompt.bodyId}> ${prompt.text} who is next in the rota?`,
    maxTokens: MAX_TOKENS,
    dispatcher: prompt.dispatcher,
    signal: prompt.signal,
  });
  if (!answer.isComplete && answer.errorCode === undefined) {
    throw new Error('the answer ended without an end marker or an error');
  }
  return {
    requestId: answer.requestId,
    ran: parseRan(answer.ran),
    outcome: answer.isComplete ? 'answered' : toOutcome(answer.errorCode ?? ''),
    answer: answer.isComplete ? answer.text : undefined,
  };
}

async function sendPayoutTo(
  entry: EntryProcess,
  payout: {
    readonly bodyId: string;
    readonly idempotencyKey: string;
    readonly signal: AbortSignal;
    readonly dispatcher: Dispatcher;
  },
): Promise<CallResult> {
  const response = await request(
    `${entry.url}/v1/services/ledger/payouts?body=${payout.bodyId}`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${WORKSPACE_TOKEN}`,
        'content-type': 'application/json',
        'idempotency-key': payout.idempotencyKey,
      },
      body: '{"member":4}',
      signal: payout.signal,
      dispatcher: payout.dispatcher,
    },
  );
  const text = await response.body.text();
  const isAnswered = response.statusCode === 200;
  return {
    requestId: singleHeader(response.headers['x-request-id']),
    ran: parseRan(singleHeader(response.headers['endivegate-ran'])),
    outcome: isAnswered ? 'answered' : toOutcome(parseErrorCode(text)),
    answer: isAnswered ? text : undefined,
  };
}

function parseErrorCode(text: string): string {
  const body = JSON.parse(text) as { error?: { code?: string } };
  return body.error?.code ?? '';
}

function singleHeader(
  value: string | string[] | undefined,
): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function parseRan(text: string | undefined): Ran {
  return text === 'no' || text === 'yes' ? text : 'unknown';
}

function toOutcome(code: string): Outcome {
  if (code.includes('doubt')) return 'inDoubt';
  if (code.includes('timed_out') || code === 'deadline') return 'timedOut';
  return code.includes('failed') ? 'failed' : 'refused';
}
