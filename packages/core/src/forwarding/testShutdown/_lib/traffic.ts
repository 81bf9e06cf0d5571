import type {
  EngineCost,
  ForwardingRoute,
} from '@endivegate/contracts/forwarding';
import { estimatePrefillMs } from '../../engineTimes/index.ts';
import type { RequestClass } from '../../requestDurations/index.ts';
import type { Work } from './virtualTarget.ts';

/** Engines of the prompts' service. */
export const engineCost: EngineCost = {
  slots: 4,
  memoryTokens: 400_000,
  stepsPerPass: 8,
  stepMs: 8,
  stepMsPerWriter: 0.5,
  stepMsPerContextK: 0.02,
  readTokensPerMs: 30,
  readMsPerMillionPairs: 0.1,
  helperStepMs: 0,
};

/** Kinds of requests: calls that may be repeated, calls that run once at most, streams, and
 * streams of long prompts. */
export type TrafficKind = 'call' | 'order' | 'stream' | 'longStream';

/** What a caller sends. */
export interface Draft {
  readonly kind: TrafficKind;
  readonly repeat: ForwardingRoute['repeat'];
  readonly class: RequestClass;
  readonly work: Work;
  /** Time from its first byte until all of it is read. */
  readonly bodyMs: number;
  /** Time that its caller waits for the answer. */
  readonly waitMs: number;
}

interface Traffic {
  readonly repeat: ForwardingRoute['repeat'];
  /** Lengths of prompts and of the longest output, in tokens. */
  readonly prompts: readonly RequestClass['prompt'][];
  /** Shortest and longest time of plain calls. */
  readonly callMs: readonly [number, number];
}

const NO_PROMPT = [undefined];

const TRAFFIC: Readonly<Record<TrafficKind, Traffic>> = {
  call: { repeat: 'idempotent', prompts: NO_PROMPT, callMs: [20, 700] },
  order: { repeat: 'atMostOnce', prompts: NO_PROMPT, callMs: [40, 900] },
  stream: {
    repeat: 'stream',
    prompts: [
      { promptTokens: 1000, maxOutputTokens: 60 },
      { promptTokens: 8000, maxOutputTokens: 120 },
      { promptTokens: 20_000, maxOutputTokens: 160 },
    ],
    callMs: [0, 0],
  },
  longStream: {
    repeat: 'stream',
    prompts: [{ promptTokens: 120_000, maxOutputTokens: 200 }],
    callMs: [0, 0],
  },
};

/** Times that callers wait; the route's timeout may be shorter. */
const CALLER_WAIT_MS = [2500, 6000, 20_000, Infinity];

/** Output is at least this share of what it may be. */
const SHORTEST_OUTPUT = 0.3;

const BODY_SHARE = 0.15;
const LONGEST_BODY_MS = 1500;

/**
 * Draws a request.
 *
 * @param kind - Its kind.
 * @param options - Timeout of its route, and a source of numbers from 0 to below 1.
 */
export function drawRequest(
  kind: TrafficKind,
  { timeoutMs, random }: DrawRequestOptions,
): Draft {
  const { repeat, prompts, callMs } = TRAFFIC[kind];
  const prompt = pick(prompts, random);
  const [leastMs, mostMs] = callMs;
  const callerMs = pick(CALLER_WAIT_MS, random) ?? Infinity;
  return {
    ...{ kind, repeat },
    class: { route: kind, prompt },
    work:
      prompt === undefined
        ? {
            readLeftMs: leastMs + (mostMs - leastMs) * random() ** 2,
            ...{ passesLeft: 0, contextTokens: 0 },
          }
        : promptWork(prompt, random),
    bodyMs: random() < BODY_SHARE ? LONGEST_BODY_MS * random() : 0,
    waitMs: Math.min(callerMs, timeoutMs),
  };
}

/** Options of {@link drawRequest}. */
export interface DrawRequestOptions {
  readonly timeoutMs: number;
  readonly random: () => number;
}

function promptWork(
  prompt: NonNullable<RequestClass['prompt']>,
  random: () => number,
): Work {
  const share = SHORTEST_OUTPUT + (1 - SHORTEST_OUTPUT) * random();
  const outputTokens = prompt.maxOutputTokens * share;
  return {
    readLeftMs: estimatePrefillMs(engineCost, prompt.promptTokens),
    passesLeft: Math.ceil(outputTokens / engineCost.stepsPerPass),
    contextTokens: prompt.promptTokens + outputTokens,
  };
}

/** Draws one of several values; undefined if there is none. */
export function pick<Value>(
  values: readonly Value[],
  random: () => number,
): Value | undefined {
  return values[Math.floor(random() * values.length)];
}
