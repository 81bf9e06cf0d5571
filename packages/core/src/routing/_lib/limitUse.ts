import {
  type EntryAddress,
  tableRowKeySchema,
  type LimitAmounts,
  type RoutingMessage,
  type TableRowKey,
} from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import { rowKeyOf } from '../../indexRows/index.ts';
import {
  acceptGrant,
  grantShare,
  isReportDue,
  newLimitUse,
  noteDemand,
  releaseLimit,
  reportLimit,
  acquireLimit,
  type CoordinatedLimit,
  type LimitUse,
} from '../../limits/index.ts';
import { homesOf } from '../../homesOf/index.ts';
import { pickHomes } from '../../pickHomes/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { DEFAULT_CELLS, resolveRow } from '../../resolveRow/index.ts';
import { withEffects } from './routedRequests.ts';
import type { RoutedRequest, RoutingState, RoutingStep } from './types.ts';

/** Idle time after which an entry stops tracking a limit. */
const LIMIT_USE_IDLE_MS = 10_000;

/** Returns the key of a request's limit, if its row sets one. */
export function limitKeyOf(
  state: RoutingState,
  request: RequestInfo,
): string | undefined {
  const { workspace, service, kind } = request;
  const address = { workspace, service, kind };
  return limitOf(state, address) ? rowKeyOf(address) : undefined;
}

/** Adds a request's tokens to the demand on its limit. */
export function recordLimitDemand(
  state: RoutingState,
  eventBase: EventBase,
  key: string,
  tokens: number,
): RoutingState {
  const use = limitUseOf(state, key, eventBase.atMs);
  return use ? storeLimitUse(state, key, noteDemand(use, tokens)) : state;
}

/** Acquires a request's share of its limit; `undefined` when it must wait. */
export function acquireShare(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingState | undefined {
  const key = routed.limitKey;
  if (key === undefined) return state;
  const use = limitUseOf(state, key, eventBase.atMs);
  if (!use) return state;
  const taken = acquireLimit(use, tokensOf(routed.request), eventBase.atMs);
  return taken && storeLimitUse(state, key, taken);
}

/** Returns the number of tokens that a request counts for. */
export function tokensOf(request: RequestInfo): number {
  return request.promptTokens + request.maxOutputTokens;
}

/** Releases the concurrency share of a request. */
export function releaseShare(
  state: RoutingState,
  routed: RoutedRequest,
): RoutingState {
  const key = routed.limitKey;
  const use = key === undefined ? undefined : state.limitUses.get(key);
  if (key === undefined || !use || routed.phase === 'limited') return state;
  return storeLimitUse(state, key, releaseLimit(use));
}

/** Sends the due reports of use and demand to the limits' coordinators. */
export function reportLimits(
  state: RoutingState,
  { atMs }: EventBase,
): RoutingStep {
  const due = [...state.limitUses].filter(([key, use]) =>
    isReportDue(use, waitingFor(state, key).length, atMs),
  );
  return due.reduce<RoutingStep>(
    (done, [key, use]) => {
      const waiting = waitingFor(state, key).length;
      const reported = reportLimit(use, waiting, atMs);
      const { wanted, inFlight } = reported;
      return {
        state: storeLimitUse(done.state, key, reported),
        effects: [
          ...done.effects,
          {
            type: 'routing.sendPeer',
            toEntryId: use.coordinatorId,
            message: {
              type: 'limitWanted',
              key,
              wanted,
              inFlight,
              reportedAtMs: atMs,
            },
          },
        ],
      };
    },
    withEffects(dropIdleUses(state, atMs), []),
  );
}

/** Returns the requests that wait for a share of a limit, oldest first. */
export function waitingFor(
  state: RoutingState,
  key: string,
): readonly RoutedRequest[] {
  return [...state.requests.values()].filter(
    ({ phase, limitKey }) => phase === 'limited' && limitKey === key,
  );
}

/** As coordinator: replies to a report with a grant. */
export function handleLimitReport(
  state: RoutingState,
  { atMs }: EventBase,
  fromEntryId: string,
  message: RoutingMessage & { readonly type: 'limitWanted' },
): RoutingStep {
  const { key, wanted, inFlight, reportedAtMs } = message;
  const resolved = resolveLimit(state, key);
  if (resolved?.coordinatorId !== state.self?.entryId || !resolved) {
    return withEffects(state, []);
  }
  const existing: CoordinatedLimit = state.coordinatedLimits.get(key) ?? {
    sinceMs: state.viewSinceMs,
    claims: new Map(),
  };
  const { coordinated, granted } = grantShare(
    existing,
    { fromEntryId, wanted, inFlight },
    { ...resolved, atMs },
  );
  const coordinatedLimits = new Map(state.coordinatedLimits);
  coordinatedLimits.set(key, coordinated);
  return withEffects({ ...state, coordinatedLimits }, [
    {
      type: 'routing.sendPeer',
      toEntryId: fromEntryId,
      message: { type: 'limitGranted', key, granted, reportedAtMs },
    },
  ]);
}

/** Applies a coordinator's grant to the use of its limit. */
export function handleLimitGrant(
  state: RoutingState,
  { atMs }: EventBase,
  message: RoutingMessage & { readonly type: 'limitGranted' },
): RoutingState {
  const use = state.limitUses.get(message.key);
  if (!use) return state;
  const { granted, reportedAtMs } = message;
  const times = { reportedAtMs, atMs };
  return storeLimitUse(state, message.key, acceptGrant(use, granted, times));
}

/**
 * Updates the tracked limits after a change of the table or the live entries.
 */
export function refreshLimits(state: RoutingState): RoutingState {
  const limitUses = [...state.limitUses].flatMap(([key, use]) => {
    const resolved = resolveLimit(state, key);
    return resolved ? [[key, { ...use, ...resolved }] as const] : [];
  });
  const liveIds = new Set(state.live.map(({ entryId }) => entryId));
  const coordinatedLimits = [...state.coordinatedLimits]
    .filter(
      ([key]) =>
        resolveLimit(state, key)?.coordinatorId === state.self?.entryId,
    )
    .map(
      ([key, existing]) =>
        [key, dropClaimsOfDeadEntries(existing, liveIds)] as const,
    );
  return {
    ...state,
    limitUses: new Map(limitUses),
    coordinatedLimits: new Map(coordinatedLimits),
  };
}

function limitUseOf(
  state: RoutingState,
  key: string,
  atMs: number,
): LimitUse | undefined {
  const existing = state.limitUses.get(key);
  if (existing) return existing;
  const resolved = resolveLimit(state, key);
  return resolved && newLimitUse(resolved, atMs);
}

function dropClaimsOfDeadEntries(
  existing: CoordinatedLimit,
  liveIds: ReadonlySet<string>,
): CoordinatedLimit {
  const claims = [...existing.claims].filter(([id]) => liveIds.has(id));
  return { ...existing, claims: new Map(claims) };
}

/** Returns a limit's amounts, coordinator and homes as this entry sees them. */
function resolveLimit(state: RoutingState, key: string) {
  const address = tableRowKeySchema.safeParse(parseRowKey(key)).data;
  const limit = address && limitOf(state, address);
  if (!limit) return undefined;
  const selfId = state.self?.entryId ?? '';
  const homes = homesInAllRegions(state, address.workspace);
  const [coordinator] = pickHomes(address.workspace, homes, { count: 1 });
  return {
    limit,
    homeCount: homes.length,
    isHome:
      homes.length === 0 || homes.some(({ entryId }) => entryId === selfId),
    coordinatorId: coordinator?.entryId ?? selfId,
  };
}

/** Returns the home entries of a workspace, which share its limits. */
function homesInAllRegions(
  state: RoutingState,
  workspace: string,
): readonly EntryAddress[] {
  const regions = [...new Set(state.live.map(({ region }) => region))];
  return regions.flatMap((region) =>
    homesOf(
      workspace,
      state.live.filter((entry) => entry.region === region),
      state.rows,
    ),
  );
}

function parseRowKey(key: string): unknown {
  try {
    const parts: unknown = JSON.parse(key);
    if (!Array.isArray(parts)) return undefined;
    const [workspace, service, kind] = parts as unknown[];
    return { workspace, service, kind };
  } catch {
    return undefined;
  }
}

function limitOf(
  state: RoutingState,
  address: TableRowKey,
): LimitAmounts | undefined {
  const { concurrency, requestsPerSecond, tokensPerSecond } = resolveRow(
    state.rows,
    address,
  );
  const isLimited =
    concurrency < DEFAULT_CELLS.concurrency ||
    requestsPerSecond < DEFAULT_CELLS.requestsPerSecond ||
    tokensPerSecond < DEFAULT_CELLS.tokensPerSecond;
  if (!isLimited) return undefined;
  return { concurrency, requestsPerSecond, tokensPerSecond };
}

function storeLimitUse(
  state: RoutingState,
  key: string,
  use: LimitUse,
): RoutingState {
  return { ...state, limitUses: new Map(state.limitUses).set(key, use) };
}

function dropIdleUses(state: RoutingState, atMs: number): RoutingState {
  const kept = [...state.limitUses].filter(
    ([, use]) =>
      use.inFlight + use.arrivedRequests + use.reportedInFlight > 0 ||
      atMs - Math.max(use.reportedAtMs, use.creditAtMs) < LIMIT_USE_IDLE_MS,
  );
  if (kept.length === state.limitUses.size) return state;
  return { ...state, limitUses: new Map(kept) };
}
