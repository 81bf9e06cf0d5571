import type { TableRow } from '@endivegate/contracts';
import { createRandom } from '@endivegate/stand-ins';

/** One request of a trace. */
export interface TraceRequest {
  readonly atMs: number;
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  readonly kind: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly outputTokens: number;
  readonly prefixHashes: readonly string[];
  /** Uniform in [0, 1); selects one of the workspace's home entries. */
  readonly callerPoint: number;
}

/** A kind of request in a mix. */
export interface TraceKind {
  readonly kind: string;
  /** Fraction of all requests of the mix. */
  readonly share: number;
  readonly service: string;
  readonly deadlineMs: number;
  readonly priority: number;
  readonly tokens: readonly [number, number];
  readonly outputTokens: readonly [number, number];
  /**
   * `bounded` favours short prompts: the density is proportional to 1/length².
   */
  readonly lengths: 'logUniform' | 'bounded';
  /**
   * Number of documents per workspace; prompts on one document share a prefix.
   */
  readonly documents: number;
  /** Fraction of a prompt that is the shared prefix. */
  readonly sharedPart: number;
}

/** The mix of requests of one organisation. */
export interface TraceMix {
  readonly name: string;
  readonly kinds: readonly TraceKind[];
}

/** The only model that the traces use. */
export const MODEL = 'general';

const question = { lengths: 'logUniform', sharedPart: 0.5 } as const;
const review = {
  service: MODEL,
  lengths: 'bounded',
  tokens: [100_000, 1_000_000],
  outputTokens: [300, 800],
  documents: 400,
  sharedPart: 0.5,
  priority: 3,
  share: 0.02,
} as const;

/** Savings circles: rota questions, ledger minutes, dispute reviews. */
export const IKIGEGA: TraceMix = {
  name: 'ikigega',
  kinds: [
    {
      ...question,
      kind: 'rota',
      share: 0.78,
      service: MODEL,
      deadlineMs: 20_000,
      priority: 6,
      tokens: [1_000, 4_000],
      outputTokens: [40, 160],
      documents: 20,
    },
    {
      ...question,
      kind: 'minutes',
      share: 0.2,
      service: MODEL,
      deadlineMs: 90_000,
      priority: 5,
      tokens: [8_000, 100_000],
      outputTokens: [200, 500],
      documents: 60,
    },
    { ...review, kind: 'dispute', deadlineMs: 600_000 },
  ],
};

/** Tyre tracking: tread questions, shift summaries, fleet reviews, bookings. */
export const MZANSI: TraceMix = {
  name: 'mzansi',
  kinds: [
    {
      ...question,
      kind: 'tread',
      share: 0.72,
      service: MODEL,
      deadlineMs: 15_000,
      priority: 7,
      tokens: [1_000, 3_000],
      outputTokens: [30, 120],
      documents: 30,
    },
    {
      ...question,
      kind: 'shift',
      share: 0.18,
      service: MODEL,
      deadlineMs: 120_000,
      priority: 5,
      tokens: [8_000, 64_000],
      outputTokens: [200, 600],
      documents: 80,
    },
    { ...review, kind: 'fleet', deadlineMs: 900_000 },
    {
      ...question,
      kind: 'booking',
      share: 0.08,
      service: 'workshop',
      deadlineMs: 10_000,
      priority: 8,
      tokens: [1, 1],
      outputTokens: [1, 1],
      documents: 1,
    },
  ],
};

/** Options of {@link makeTrace}. */
export interface MakeTraceOptions {
  readonly mix: TraceMix;
  /** Offered load as a fraction of the engines' total capacity. */
  readonly load: number;
  readonly engines: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Workspaces of an organisation; their weights are proportional to 1/rank. */
const WORKSPACES = 10;

const WORKSPACE_WEIGHTS = Array.from(
  { length: WORKSPACES },
  (_, rank) => 1 / (rank + 1),
);

/** Tokens that one prefix hash covers. */
const BLOCK_TOKENS = 1_024;

/**
 * Generates a reproducible trace with Poisson arrivals.
 *
 * @param options - Mix, load, engine count, duration and seed.
 * @returns The requests by time of arrival.
 */
export function makeTrace(options: MakeTraceOptions): readonly TraceRequest[] {
  const random = createRandom(options.seed);
  const ratePerMs =
    (options.load * options.engines) / meanWorkMs(options.mix, options.seed);
  const interArrivalMs = () => -Math.log(1 - random()) / ratePerMs;
  const requests: TraceRequest[] = [];
  for (
    let atMs = interArrivalMs();
    atMs < options.durationMs;
    atMs += interArrivalMs()
  ) {
    requests.push(drawRequest(options.mix, random, requests.length, atMs));
  }
  return requests;
}

/**
 * Returns the engine time that a request takes when no prefix is cached.
 *
 * @param request - Lengths of the request.
 * @returns Time at the default speeds of the engine stand-in, including the
 *   request's share of batch steps.
 */
export function workMsOf(request: {
  readonly promptTokens: number;
  readonly outputTokens: number;
}): number {
  const prefillMs =
    (request.promptTokens / 20) * (1 + request.promptTokens / 400_000);
  return prefillMs * 1.12 + request.outputTokens * 0.6;
}

/**
 * Returns the operators' table rows for the workspaces of a mix.
 *
 * @param mix - The mix.
 * @returns One row for each workspace and kind.
 */
export function rowsOf(mix: TraceMix): readonly TableRow[] {
  return WORKSPACE_WEIGHTS.flatMap((weight, rank) =>
    mix.kinds.map(({ kind, service, deadlineMs, priority }) => ({
      workspace: workspaceOf(mix, rank),
      service,
      kind,
      weight,
      deadlineMs,
      priority,
      repeatable: true,
    })),
  );
}

/**
 * Returns a workspace's expected share of all requests.
 *
 * @param workspace - Name of the workspace.
 * @returns Its share, 0 to 1.
 */
export function shareOf(workspace: string): number {
  const rank = Number(workspace.split('-')[1]);
  return (WORKSPACE_WEIGHTS[rank] ?? 0) / sum(WORKSPACE_WEIGHTS);
}

function meanWorkMs(mix: TraceMix, seed: number): number {
  const random = createRandom(seed + 1);
  const drawn = Array.from({ length: 40_000 }, (_, n) =>
    drawRequest(mix, random, n, 0),
  ).filter((request) => request.service === MODEL);
  return sum(drawn.map(workMsOf)) / 40_000;
}

function drawRequest(
  mix: TraceMix,
  random: () => number,
  sequence: number,
  atMs: number,
): TraceRequest {
  const kind = pickWeighted(mix.kinds, (one) => one.share, random());
  const ranks = WORKSPACE_WEIGHTS.map((weight, rank) => ({ weight, rank }));
  const { rank } = pickWeighted(ranks, (one) => one.weight, random());
  const promptTokens = Math.round(drawLength(kind, random()));
  const [least, most] = kind.outputTokens;
  const outputTokens = Math.round(least + (most - least) * random());
  const document = Math.floor(kind.documents * random());
  const requestId = `${mix.name}-${sequence}`;
  return {
    atMs,
    requestId,
    workspace: workspaceOf(mix, rank),
    service: kind.service,
    kind: kind.kind,
    promptTokens,
    outputTokens,
    maxOutputTokens: most,
    prefixHashes: prefixHashesOf({
      promptTokens,
      sharedPart: kind.sharedPart,
      documentId: `${rank}/${kind.kind}/${document}`,
      requestId,
    }),
    callerPoint: random(),
  };
}

function drawLength(kind: TraceKind, point: number): number {
  const [least, most] = kind.tokens;
  if (kind.lengths === 'logUniform') return least * (most / least) ** point;
  return 1 / (1 / least - point * (1 / least - 1 / most));
}

function prefixHashesOf(prompt: {
  readonly promptTokens: number;
  readonly sharedPart: number;
  readonly documentId: string;
  readonly requestId: string;
}): readonly string[] {
  const blocks = Math.floor(prompt.promptTokens / BLOCK_TOKENS);
  const shared = Math.round(blocks * prompt.sharedPart);
  return Array.from({ length: blocks }, (_, n) =>
    n < shared ? `${prompt.documentId}#${n}` : `${prompt.requestId}#${n}`,
  );
}

function workspaceOf(mix: TraceMix, rank: number): string {
  return `${mix.name}-${rank}`;
}

function pickWeighted<Item>(
  items: readonly Item[],
  weightOf: (item: Item) => number,
  point: number,
): Item {
  let left = point * sum(items.map(weightOf));
  const found = items.find((item) => {
    left -= weightOf(item);
    return left < 0;
  });
  return found ?? items.at(-1)!;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
