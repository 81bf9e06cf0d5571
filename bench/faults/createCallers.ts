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

/** What an entry told a caller. */
interface Told {
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

/** Callers that send prompts and calls, and resend what they may. */
export interface Callers {
  readonly sendPrompt: (bodyId: string, text?: string) => Promise<void>;
  /** Sends a payout, and sends it again until its outcome is known. */
  readonly sendPayout: (bodyId: string) => Promise<void>;
}

/** Time beyond the deadline that a caller still listens. */
const PATIENCE_MS = 1_000;
const PAYOUT_SENDS = 4;
const RESEND_AFTER_MS = 700;

/**
 * Creates callers whose every call is recorded.
 *
 * @param options - Recorder and entries.
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
    call: (entry: EntryProcess, signal: AbortSignal) => Promise<Told>,
  ): Promise<Told | undefined> {
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
      const signal = AbortSignal.timeout(sent.timeoutMs + PATIENCE_MS);
      const told = await call(entry, signal);
      const atMs = performance.now();
      const isLate = atMs > startedAtMs + sent.timeoutMs;
      const isDisturbed = entry.disturbedAtMs.some((at) => at > startedAtMs);
      if (isLate && isDisturbed) {
        recorder.add({ type: 'caller.lost', atMs, callId });
      }
      recorder.add({ type: 'caller.ended', atMs, callId, ...told });
      return told;
    } catch {
      // The connection failed: only a dead or paused entry may do that.
      const atMs = performance.now();
      const excused = entry.disturbedAtMs.some(
        (at) => at > startedAtMs - 10_000,
      );
      if (excused) recorder.add({ type: 'caller.lost', atMs, callId });
      return undefined;
    }
  }

  return {
    sendPrompt: async (bodyId, text = '') => {
      await record({ bodyId, timeoutMs: PROMPT_DEADLINE_MS }, (entry, signal) =>
        promptVia(entry, { bodyId, text, signal, dispatcher }),
      );
    },
    sendPayout: async (bodyId) => {
      const idempotencyKey = `key-${bodyId}`;
      const sent = { bodyId, idempotencyKey, timeoutMs: CALL_DEADLINE_MS };
      for (let sends = 0; sends < PAYOUT_SENDS; sends += 1) {
        const told = await record(sent, (entry, signal) =>
          payoutVia(entry, { bodyId, idempotencyKey, signal, dispatcher }),
        );
        if (told?.outcome === 'answered') return;
        await sleep(RESEND_AFTER_MS);
      }
    },
  };
}

async function promptVia(
  entry: EntryProcess,
  prompt: {
    readonly bodyId: string;
    readonly text: string;
    readonly signal: AbortSignal;
    readonly dispatcher: Dispatcher;
  },
): Promise<Told> {
  const answer = await callEntry({
    entryUrl: entry.url,
    token: WORKSPACE_TOKEN,
    model: TRIAL_MODEL,
    prompt: `<${prompt.bodyId}> ${prompt.text} who is next in the rota?`,
    maxTokens: MAX_TOKENS,
    dispatcher: prompt.dispatcher,
    signal: prompt.signal,
  });
  if (!answer.isWhole && answer.errorCode === undefined) {
    throw new Error('the answer broke off');
  }
  return {
    requestId: answer.requestId,
    ran: ranOf(answer.ran),
    outcome: answer.isWhole ? 'answered' : outcomeOf(answer.errorCode ?? ''),
    answer: answer.isWhole ? answer.text : undefined,
  };
}

async function payoutVia(
  entry: EntryProcess,
  payout: {
    readonly bodyId: string;
    readonly idempotencyKey: string;
    readonly signal: AbortSignal;
    readonly dispatcher: Dispatcher;
  },
): Promise<Told> {
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
    requestId: textOf(response.headers['x-request-id']),
    ran: ranOf(textOf(response.headers['endivegate-ran'])),
    outcome: isAnswered ? 'answered' : outcomeOf(codeIn(text)),
    answer: isAnswered ? text : undefined,
  };
}

function codeIn(text: string): string {
  const body = JSON.parse(text) as { error?: { code?: string } };
  return body.error?.code ?? '';
}

function textOf(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function ranOf(text: string | undefined): Ran {
  return text === 'no' || text === 'yes' ? text : 'unknown';
}

function outcomeOf(code: string): Outcome {
  if (code.includes('doubt')) return 'inDoubt';
  if (code.includes('timed_out') || code === 'deadline') return 'timedOut';
  return code.includes('failed') ? 'failed' : 'refused';
}
