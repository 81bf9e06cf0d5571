import { comparePositions, withFacts, withList } from './_lib/merge.ts';
import type {
  Evacuation,
  EvacuationReport,
  EvacuationsEffect,
  EvacuationsEvent,
  EvacuationSource,
  EvacuationsState,
  EvacuationsStep,
} from './types.ts';

export type * from './types.ts';

/** A process that was stopped for this long may have missed an evacuation: a shorter
 * stop leaves time to learn of it within the 5 s in which it has to be in force. */
export const MAX_STOP_MS = 3000;

/** Time after a stop within which watchers and peers repeat what is in force, which
 * they do every 1000 ms. */
export const RESUME_HOLD_MS = 1200;

/** An entry that read facts in the store reports them for this long by itself. Later,
 * those entries repeat them that report what they received. */
const READER_REPORT_MS = 60_000;

/** Peers that missed a removal receive it for this long. */
const REMOVAL_REPORT_MS = 30_000;

/** Evacuations before the first list is read. */
export const initialEvacuations: EvacuationsState = {
  list: undefined,
  facts: new Map(),
  current: new Map(),
  reportUntilMs: new Map(),
  readAtMs: undefined,
  tickedAtMs: undefined,
  outdatedUntilMs: 0,
};

/**
 * Maintains which data centres are evacuated.
 *
 * Each fact has the position of the store at which it was written. The newest fact
 * on a data centre wins, and a list of all requests replaces older facts, so the
 * result depends neither on the order of events nor on their repetition.
 *
 * @param state - Known facts.
 * @param event - The event to apply.
 * @returns The new facts and the changes to log.
 *
 * @example
 * reduceEvacuations(state, { type: 'evacuations.ticked', atMs });
 */
export function reduceEvacuations(
  state: EvacuationsState,
  event: EvacuationsEvent,
): EvacuationsStep {
  switch (event.type) {
    case 'evacuations.listed': {
      const { at, reports } = event;
      const isListed = (one: EvacuationReport) =>
        one.isEvacuated && comparePositions(one, at) <= 0;
      const revisions = new Map(
        reports.filter(isListed).map((one) => [one.dataCentre, one.revision]),
      );
      const merged = withFacts(state, evacuationsOf(event));
      return finish(state, withList(merged, { ...at, revisions }), event);
    }
    case 'evacuations.reported':
      return finish(state, withFacts(state, evacuationsOf(event)), event);
    case 'evacuations.ticked':
      return applyTick(state, event.atMs);
  }
}

/**
 * Finds the evacuation of a data centre that is in force.
 *
 * @param state - Known facts.
 * @param dataCentre - Name of the data centre.
 * @returns The evacuation; undefined if the data centre is not evacuated.
 *
 * @example
 * evacuationOf(state.evacuations, target.dataCentre)?.sinceMs;
 */
export function evacuationOf(
  state: EvacuationsState,
  dataCentre: string,
): Evacuation | undefined {
  const known = state.current.get(dataCentre);
  return known?.isEvacuated === true ? known : undefined;
}

/**
 * Lists the evacuated data centres.
 *
 * @param state - Known facts.
 * @returns The evacuations in force.
 *
 * @example
 * evacuatedDataCentres(state.evacuations).length;
 */
export function evacuatedDataCentres(
  state: EvacuationsState,
): readonly Evacuation[] {
  return [...state.current.values()].filter(({ isEvacuated }) => isEvacuated);
}

/**
 * Lists what is reported to other entries: evacuations in force and recent removals.
 *
 * @param state - Known facts.
 * @param nowMs - Current monotonic time.
 * @returns The reports.
 *
 * @example
 * evacuationReports(state.evacuations, performance.now());
 */
export function evacuationReports(
  state: EvacuationsState,
  nowMs: number,
): readonly EvacuationReport[] {
  return [...state.current.values()]
    .filter(
      ({ isEvacuated, dataCentre }) =>
        isEvacuated || (state.reportUntilMs.get(dataCentre) ?? 0) > nowMs,
    )
    .map(({ sinceMs, ...fact }) => ({
      ...fact,
      ageMs: Math.max(Math.round(nowMs - sinceMs), 0),
    }));
}

/**
 * Checks whether this entry lately read facts in the store itself.
 *
 * @param state - Known facts.
 * @param nowMs - Current monotonic time.
 * @returns Whether it did.
 *
 * @example
 * isReadingStore(state.evacuations, performance.now());
 */
export function isReadingStore(
  { readAtMs }: EvacuationsState,
  nowMs: number,
): boolean {
  return readAtMs !== undefined && nowMs - readAtMs < READER_REPORT_MS;
}

/**
 * Returns until when the facts may be outdated because the process was stopped.
 *
 * @param state - Known facts.
 * @param nowMs - Current monotonic time.
 * @returns Monotonic time; undefined if the facts are up to date.
 *
 * @example
 * outdatedUntilMs(state.evacuations, performance.now());
 */
export function outdatedUntilMs(
  state: EvacuationsState,
  nowMs: number,
): number | undefined {
  // The first tick after a stop may come later than a request.
  if (nowMs - (state.tickedAtMs ?? nowMs) >= MAX_STOP_MS) {
    return nowMs + RESUME_HOLD_MS;
  }
  return nowMs < state.outdatedUntilMs ? state.outdatedUntilMs : undefined;
}

function evacuationsOf({
  atMs,
  reports,
}: {
  readonly atMs: number;
  readonly reports: readonly EvacuationReport[];
}): readonly Evacuation[] {
  return reports.map(({ ageMs, ...fact }) => ({
    ...fact,
    sinceMs: atMs - Math.max(ageMs, 0),
  }));
}

/** Logs what changed. Peers receive what this entry read in the store, and the
 * removal of what a peer still reports. */
function finish(
  before: EvacuationsState,
  state: EvacuationsState,
  event: {
    readonly atMs: number;
    readonly reports: readonly EvacuationReport[];
    readonly source: EvacuationSource;
  },
): EvacuationsStep {
  const { atMs, source } = event;
  const changed = [...state.current.values()].filter(
    ({ dataCentre, isEvacuated }) =>
      isEvacuated !== (evacuationOf(before, dataCentre) !== undefined),
  );
  const contradicted = event.reports.filter(
    ({ dataCentre, isEvacuated }) =>
      isEvacuated && evacuationOf(state, dataCentre) === undefined,
  );
  const removed = [
    ...changed.filter(({ isEvacuated }) => !isEvacuated),
    ...contradicted,
  ].map(({ dataCentre }) => [dataCentre, atMs + REMOVAL_REPORT_MS] as const);
  const isReportDue =
    contradicted.length > 0 || (source !== 'peer' && changed.length > 0);
  const effects = changed.map((evacuation): EvacuationsEffect => ({
    type: 'evacuations.changed',
    evacuation,
    source,
    ageMs: atMs - evacuation.sinceMs,
  }));
  return {
    state: {
      ...state,
      readAtMs: source === 'store' ? atMs : state.readAtMs,
      reportUntilMs:
        removed.length === 0
          ? state.reportUntilMs
          : new Map([...state.reportUntilMs, ...removed]),
    },
    effects: isReportDue
      ? [...effects, { type: 'evacuations.reportDue' }]
      : effects,
  };
}

function applyTick(state: EvacuationsState, atMs: number): EvacuationsStep {
  const stoppedMs = atMs - (state.tickedAtMs ?? atMs);
  const ticked = { ...state, tickedAtMs: atMs };
  return stoppedMs < MAX_STOP_MS
    ? { state: ticked, effects: [] }
    : {
        state: { ...ticked, outdatedUntilMs: atMs + RESUME_HOLD_MS },
        effects: [{ type: 'evacuations.outdated', stoppedMs }],
      };
}
