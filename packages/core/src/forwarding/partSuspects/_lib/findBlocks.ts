import type {
  KnownDeath,
  PartBlock,
  PartDeath,
  PartSuspectsState,
} from '../types.ts';
import { effectiveParts, isCovered, soundAtMs } from './effectiveParts.ts';
import { isRequestPart } from './requestPart.ts';

/** Deaths one after the other after which a part is blocked. */
const DEATH_LIMIT = 3;

/** Deaths after which a part is blocked although it was sound recently. */
const CERTAIN_DEATHS = 5;

/** Deaths that tell apart a part that was blocked together with others. */
const SEPARATING_DEATHS = 2;

/** A part that was sound within this time needs {@link CERTAIN_DEATHS}. */
const RECENTLY_SOUND_MS = 10_000;

/** Answers to requests without the part that show that the service works. */
const MIN_OTHER_ANSWERS = 3;

/** Answers count until this long after the last death. */
const ANSWERS_AFTER_DEATH_MS = 10_000;

/** A death counts once the entries whose requests ran there too have reported it: one of
 * those may be to blame. */
const SETTLE_MS = 300;

/** Maximum number of blocks found at a time. */
const MAX_FOUND = 4;

/** Deaths that speak against a part. */
interface Evidence {
  readonly part: string;
  /** Deaths under requests with the part since it was last sound. */
  readonly deaths: readonly PartDeath[];
  /** Those of them that count, in order. */
  readonly counted: readonly PartDeath[];
}

/**
 * Finds the parts of a service's prompts that have to be blocked. The result
 * depends on the recorded facts only, not on their order.
 *
 * A process that died under a request with blocked parts is explained by them and
 * speaks against no other part.
 *
 * @param state - Deaths, answers and blocks on record.
 * @param service - Service name.
 * @param nowMs - Current monotonic time.
 * @returns New blocks.
 */
export function findBlocks(
  state: PartSuspectsState,
  service: string,
  nowMs: number,
): readonly PartBlock[] {
  const deaths = [...state.deaths.values()].filter(
    (death) =>
      death.service === service && death.endedAtMs <= nowMs - SETTLE_MS,
  );
  const known = [...state.blocks.values()].filter(
    (block) => block.service === service,
  );
  const search = (found: readonly PartBlock[]): readonly PartBlock[] => {
    if (found.length >= MAX_FOUND) return found;
    const blocked = [...known, ...found].map((block) =>
      effectiveParts(state.sounds, block),
    );
    const unexplained = withoutExplained(deaths, blocked);
    const next = findNext(state, { service, nowMs, unexplained, blocked });
    return next.length === 0 ? found : search([...found, ...next]);
  };
  return deaths.length === 0 ? [] : search([]);
}

interface Query {
  readonly service: string;
  readonly nowMs: number;
  readonly unexplained: readonly PartDeath[];
  /** Parts of each block. */
  readonly blocked: readonly (readonly string[])[];
}

/** Blocks for the parts with most deaths; several if each explains all of them. */
function findNext(
  state: PartSuspectsState,
  query: Query,
): readonly PartBlock[] {
  const suspects = [...groupByPart(query.unexplained)]
    .filter(([, deaths]) => deaths.length >= SEPARATING_DEATHS)
    .map(([part, deaths]) => collectEvidence(state, query, { part, deaths }))
    .filter((evidence) => isBlamed(state, query, evidence))
    .toSorted(
      (a, b) =>
        b.counted.length - a.counted.length || (a.part < b.part ? -1 : 1),
    );
  const [first] = suspects;
  if (first === undefined) return [];
  const together = alwaysWith(first, suspects);
  const rivals = suspects.filter(
    (other) => !together.includes(other) && isRival(other, first),
  );
  if (rivals.length > 0 && first.counted.length < CERTAIN_DEATHS) return [];
  return [first, ...rivals].map((suspect) => ({
    service: query.service,
    parts: alwaysWith(suspect, suspects)
      .map(({ part }) => part)
      .toSorted(),
    cause: suspect.counted.at(-1)?.process ?? '',
    level: 0,
    sinceMs: suspect.counted.at(-1)?.endedAtMs ?? query.nowMs,
  }));
}

/** Suspects that are in all requests that speak against a part. */
function alwaysWith(
  suspect: Evidence,
  suspects: readonly Evidence[],
): readonly Evidence[] {
  return suspects.filter(({ part }) =>
    suspect.deaths.every((death) => death.parts.includes(part)),
  );
}

function groupByPart(
  deaths: readonly PartDeath[],
): ReadonlyMap<string, readonly PartDeath[]> {
  const byPart = new Map<string, PartDeath[]>();
  deaths.forEach((death) => {
    death.parts.forEach((part) => {
      const group = byPart.get(part);
      if (group === undefined) byPart.set(part, [death]);
      else group.push(death);
    });
  });
  return byPart;
}

function collectEvidence(
  state: PartSuspectsState,
  query: Query,
  recorded: Pick<Evidence, 'part' | 'deaths'>,
): Evidence {
  const { part } = recorded;
  const sinceMs = soundAtMs(state.sounds, query.service, part);
  const deaths = recorded.deaths.filter((death) => death.sentAtMs > sinceMs);
  return { part, deaths, counted: countInSequence(deaths) };
}

/**
 * Counts a death only if its request was sent after the one counted before, so
 * that processes that die together count once.
 */
function countInSequence(deaths: readonly PartDeath[]): readonly PartDeath[] {
  return deaths
    .toSorted((a, b) => a.endedAtMs - b.endedAtMs || (a.id < b.id ? -1 : 1))
    .reduce<readonly PartDeath[]>((counted, death) => {
      const last = counted.at(-1);
      const isLater =
        last === undefined ||
        (death.sentAtMs >= last.endedAtMs && death.process !== last.process);
      return isLater ? [...counted, death] : counted;
    }, []);
}

function isBlamed(
  state: PartSuspectsState,
  query: Query,
  { part, counted }: Evidence,
): boolean {
  const wasBlockedWithOthers = query.blocked.some(
    (parts) => parts.length > 1 && parts.includes(part),
  );
  const limit = wasBlockedWithOthers ? SEPARATING_DEATHS : DEATH_LIMIT;
  if (counted.length < limit) return false;
  const soundMs = soundAtMs(state.sounds, query.service, part);
  const wasSoundRecently = query.nowMs - soundMs < RECENTLY_SOUND_MS;
  if (wasSoundRecently && counted.length < CERTAIN_DEATHS) return false;
  // A service of which every target dies under every request has no other answers; one
  // request that is sent again and again may be the only one.
  if (isRequestPart(part)) return true;
  const fromMs = counted[0]?.sentAtMs ?? Infinity;
  const untilMs =
    (counted.at(-1)?.endedAtMs ?? -Infinity) + ANSWERS_AFTER_DEATH_MS;
  const others = (state.answers.get(query.service) ?? []).filter(
    ({ atMs, parts }) =>
      atMs >= fromMs && atMs <= untilMs && !parts.includes(part),
  );
  return others.length >= MIN_OTHER_ANSWERS;
}

/** Whether one part explains all deaths that count against another part. */
function isRival(other: Evidence, first: Evidence): boolean {
  const processes = new Set(other.deaths.map((death) => death.process));
  return first.counted.every((death) => processes.has(death.process));
}

function withoutExplained(
  deaths: readonly KnownDeath[],
  blocked: readonly (readonly string[])[],
): readonly PartDeath[] {
  const explained = new Set(
    deaths
      .filter((death) => blocked.some((parts) => isCovered(death.parts, parts)))
      .map((death) => death.process),
  );
  return deaths.filter((death) => !explained.has(death.process));
}
