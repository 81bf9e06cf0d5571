/** Loads under which requests compete for capacity. */
import type { LoadRequest } from './test.fleet.ts';

const SHORT = {
  isShort: true,
  memoryTokens: 6_700,
  prefillMs: 50,
  holdMs: 1500,
  objectiveMs: 300,
  patienceMs: 6000,
} as const;

const HUGE = {
  isShort: false,
  memoryTokens: 220_000,
  prefillMs: 1500,
  holdMs: 3000,
  objectiveMs: 6000,
  patienceMs: 15_000,
} as const;

const LONG = {
  isShort: false,
  memoryTokens: 48_000,
  prefillMs: 500,
  holdMs: 2000,
  objectiveMs: 2500,
  patienceMs: 8000,
} as const;

/** Targets of the loads: 6 engines of 8 slots and 340,000 tokens. */
export const FLEET = { slots: 48, memoryTokens: 2_040_000 } as const;

type Kind = Omit<LoadRequest, 'id' | 'workspace' | 'arrivesAtMs'>;

/** Requests of one kind at even distances. */
function stream(
  kind: Kind,
  {
    name,
    count,
    fromMs = 0,
    everyMs,
    workspace = name,
  }: {
    readonly name: string;
    readonly count: number;
    readonly fromMs?: number;
    readonly everyMs: number;
    readonly workspace?: string;
  },
): readonly LoadRequest[] {
  return Array.from({ length: count }, (_, index) => ({
    ...kind,
    id: `${name}-${index}`,
    workspace,
    arrivesAtMs: fromMs + index * everyMs,
  }));
}

/** Thirty huge prompts at once, for which there is memory for nine. */
export const hugeBurst: readonly LoadRequest[] = [
  ...stream(HUGE, { name: 'huge', count: 30, fromMs: 500, everyMs: 5 }),
  ...stream(SHORT, { name: 'short', count: 300, everyMs: 40 }),
];

/** Two seconds of four times the short prompts that the slots serve. */
export const retryStorm: readonly LoadRequest[] = [
  ...stream(SHORT, { name: 'storm', count: 260, fromMs: 500, everyMs: 8 }),
  ...stream(SHORT, { name: 'steady', count: 250, everyMs: 40 }),
];

/** Long prompts of one workspace at ten times its share, beside nine others whose
 * demand is below theirs. */
export const unevenWorkspaces: readonly LoadRequest[] = [
  ...stream(LONG, { name: 'large', count: 400, everyMs: 20 }),
  ...Array.from({ length: 9 }, (_, index) =>
    stream(LONG, {
      name: `small${index}`,
      count: 15,
      fromMs: 400 + index * 37,
      everyMs: 500,
    }),
  ).flat(),
];

/** A hundred callers that are refused at the same moment. */
export const manyReturns: readonly LoadRequest[] = [
  ...stream(SHORT, { name: 'first', count: 48, everyMs: 0 }),
  ...stream(
    { ...SHORT, objectiveMs: 4000 },
    { name: 'crowd', count: 130, fromMs: 100, everyMs: 0 },
  ),
];

/** One huge prompt while short and long prompts keep the memory in use. */
export const hugeAmongShort: readonly LoadRequest[] = [
  ...stream(LONG, { name: 'long', count: 220, everyMs: 40 }),
  ...stream(SHORT, { name: 'short', count: 400, everyMs: 60 }),
  ...stream(
    { ...HUGE, memoryTokens: 900_000 },
    { name: 'huge', count: 1, fromMs: 1500, everyMs: 1 },
  ),
];
