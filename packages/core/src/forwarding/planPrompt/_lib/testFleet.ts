/** Simulated engines and entries, on which the planner is compared under load. */
import type { EngineCost } from '@endivegate/contracts/forwarding';
import { decideAdmission } from '../../decideAdmission/index.ts';
import {
  allLoads,
  type InFlightRequest,
  type LoadByTarget,
} from '../../engineLoad/index.ts';
import { estimatePassMs } from '../../engineTimes/index.ts';
import type { RosterTarget } from '../../targetRoster/index.ts';
import { planPrompt, type PromptPlan, valueOfPrompt } from '../index.ts';

/** A prompt of a load. */
export interface LoadPrompt {
  readonly arrivesAtMs: number;
  readonly entry: number;
  readonly promptTokens: number;
  readonly outputEvents: number;
  readonly objectiveMs: number;
  readonly gapTargetMs: number;
  readonly deadlineMs: number;
}

/** What became of a prompt; a refused or unfinished one is not on time. */
export interface PromptOutcome {
  readonly prompt: LoadPrompt;
  readonly isOnTime: boolean;
}

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  readonly cost: EngineCost;
  readonly targets: readonly RosterTarget[];
  /** Age at which entries learn of the requests of others. */
  readonly reportAgeMs: number;
  /** Whether a planned prompt is sent, waits or is refused. */
  readonly admit?: typeof decideAdmission;
  /** Load as the entries see it. */
  readonly loadsOf?: typeof allLoads;
  readonly random: () => number;
}

interface Part {
  readonly run: Run;
  readonly isSplit: boolean;
  leftMs: number;
}

interface Run {
  readonly prompt: LoadPrompt;
  readonly flight: InFlightRequest;
  readonly engine: string;
  partsLeft: number;
  events: number;
  decodedMs: number;
  lastEventAtMs: number;
  isLate: boolean;
  endedAtMs: number | undefined;
}

const TICK_MS = 5;

/**
 * Plays a load. An engine reads the part of the newest split prompt first, then whole
 * prompts in their order; while it reads, its streams wait. Callers that give up leave
 * the parts of their prompt to the helpers.
 */
export function runLoad(
  load: readonly LoadPrompt[],
  options: RunLoadOptions,
): readonly PromptOutcome[] {
  const { cost, targets, reportAgeMs, random } = options;
  const { admit = decideAdmission, loadsOf = allLoads } = options;
  const queues = new Map(targets.map(({ id }) => [id, [] as Part[]]));
  const runs: Run[] = [];
  let pending = load.map((prompt) => ({ prompt, dueAtMs: prompt.arrivesAtMs }));
  const endMs = Math.max(...load.map((one) => one.arrivesAtMs)) + 20_000;

  /** Requests in flight of `owner` as `viewer` knows them. */
  const flightsOf = (owner: number, viewer: number, nowMs: number) => {
    const seenAtMs = owner === viewer ? nowMs : nowMs - reportAgeMs;
    return runs
      .filter(({ prompt }) => prompt.entry === owner)
      .filter(({ flight }) => flight.startedAtMs <= seenAtMs)
      .flatMap((run) => {
        if ((run.endedAtMs ?? Infinity) <= seenAtMs) return [];
        return [{ ...run.flight, isDecoding: run.partsLeft === 0 }];
      });
  };

  const viewOf = (entry: number, nowMs: number): LoadByTarget => {
    const entries = [...new Set(load.map((one) => one.entry))];
    const own = flightsOf(entry, entry, nowMs);
    const peers = entries
      .filter((other) => other !== entry)
      .map((other) => {
        const flights = flightsOf(other, entry, nowMs);
        return [String(other), { atMs: nowMs, flights }] as const;
      });
    const flights = new Map(own.map((one) => [one.flightId, one]));
    return loadsOf({ flights, peers: new Map(peers) }, nowMs);
  };

  const start = (prompt: LoadPrompt, plan: PromptPlan, nowMs: number): void => {
    const flight: InFlightRequest = {
      flightId: `f${runs.length}`,
      targetId: plan.target.id,
      helperIds: plan.helpers.map(({ id }) => id),
      partPrefillMs: plan.partPrefillMs,
      memoryTokens: plan.memoryTokens,
      contextTokens: plan.memoryTokens,
      value: valueOfPrompt(prompt.promptTokens),
      isShort: plan.isShort,
      reservations: [],
      gapTargetMs: prompt.gapTargetMs,
      startedAtMs: nowMs,
      isDecoding: false,
    };
    const ids = [flight.targetId, ...flight.helperIds];
    const run: Run = {
      ...{ prompt, flight, engine: flight.targetId, partsLeft: ids.length },
      ...{ events: 0, decodedMs: 0, lastEventAtMs: 0, isLate: false },
      endedAtMs: undefined,
    };
    runs.push(run);
    ids.forEach((id) => {
      const part = { run, isSplit: ids.length > 1, leftMs: plan.partPrefillMs };
      if (part.isSplit) queues.get(id)?.unshift(part);
      else queues.get(id)?.push(part);
    });
  };

  const offer = (prompt: LoadPrompt, nowMs: number): number | undefined => {
    const waitedMs = nowMs - prompt.arrivesAtMs;
    const left = {
      latencyBudgetMs: prompt.objectiveMs - waitedMs,
      patienceMs: prompt.deadlineMs - waitedMs,
    };
    const outputTokens = prompt.outputEvents * cost.stepsPerPass;
    const demand = { ...prompt, ...left, outputTokens };
    const loads = viewOf(prompt.entry, nowMs);
    const plan = planPrompt(
      demand,
      { cost, targets, loads, nowMs },
      { random },
    );
    if (plan === undefined) return undefined;
    const value = valueOfPrompt(prompt.promptTokens);
    const admission = admit({ ...plan, ...left, waitedMs, value }, { random });
    if (admission.type === 'wait') return nowMs + admission.waitMs;
    if (admission.type === 'send') start(prompt, plan, nowMs);
    return undefined;
  };

  const giveUp = (run: Run, nowMs: number): void => {
    run.endedAtMs = nowMs;
    run.isLate = true;
    const queue = queues.get(run.engine) ?? [];
    queues.set(
      run.engine,
      queue.filter((part) => part.run !== run),
    );
  };

  const read = (id: string, nowMs: number): boolean => {
    const queue = queues.get(id) ?? [];
    const [part] = queue;
    if (part === undefined) return false;
    part.leftMs -= TICK_MS;
    if (part.leftMs > 0) return true;
    queue.shift();
    part.run.partsLeft -= 1;
    if (part.run.partsLeft === 0) part.run.lastEventAtMs = nowMs;
    return true;
  };

  const decode = (id: string, nowMs: number): void => {
    const streams = runs.filter(
      (run) =>
        run.engine === id && run.partsLeft === 0 && run.endedAtMs === undefined,
    );
    const context = streams.reduce(
      (sum, { flight }) => sum + flight.contextTokens,
      0,
    );
    const passMs = estimatePassMs(cost, streams.length, context);
    streams.slice(0, cost.slots).forEach((run) => {
      run.decodedMs += TICK_MS;
      if (run.decodedMs < passMs) return;
      const { arrivesAtMs, objectiveMs, gapTargetMs } = run.prompt;
      const isFirstLate = nowMs - arrivesAtMs > objectiveMs;
      const isGapLate = nowMs - run.lastEventAtMs > gapTargetMs;
      run.isLate ||= run.events === 0 ? isFirstLate : isGapLate;
      run.decodedMs = 0;
      run.events += 1;
      run.lastEventAtMs = nowMs;
      if (run.events >= run.prompt.outputEvents) run.endedAtMs = nowMs;
    });
  };

  for (let nowMs = 0; nowMs < endMs; nowMs += TICK_MS) {
    const due = pending.filter((one) => one.dueAtMs <= nowMs);
    const later = pending.filter((one) => one.dueAtMs > nowMs);
    const again = due.flatMap(({ prompt }) => {
      const dueAtMs = offer(prompt, nowMs);
      return dueAtMs === undefined ? [] : [{ prompt, dueAtMs }];
    });
    pending = [...later, ...again];
    targets.forEach(({ id }) => {
      if (!read(id, nowMs)) decode(id, nowMs);
    });
    runs
      .filter((run) => run.endedAtMs === undefined)
      .filter((run) => nowMs - run.prompt.arrivesAtMs >= run.prompt.deadlineMs)
      .forEach((run) => {
        giveUp(run, nowMs);
      });
  }
  return load.map((prompt) => {
    const run = runs.find((one) => one.prompt === prompt);
    const isOnTime = run?.endedAtMs !== undefined && !run.isLate;
    return { prompt, isOnTime };
  });
}
