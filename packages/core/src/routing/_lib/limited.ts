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
  takeLimit,
  type CoordinatedLimit,
  type LimitUse,
} from '../../limits/index.ts';
import { homesOf } from '../../homesOf/index.ts';
import { pickHomes } from '../../pickHomes/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { DEFAULT_CELLS, resolveRow } from '../../resolveRow/index.ts';
import { withEffects } from './requests.ts';
import type { RoutedRequest, RoutingState, RoutingStep } from './types.ts';

/** Time without use after which an entry forgets a limit. */
const FORGET_USE_MS = 10_000;

/** Returns the key of a request's limit, if its row sets one. */
export function limitKeyOf(
  state: RoutingState,
  request: RequestInfo,
): string | undefined {
  const { workspace, service, kind } = request;
  const address = { workspace, service, kind };
  return limitOf(state, address) ? rowKeyOf(address) : undefined;
}

/** Counts a request's demand on its limit. */
export function noteLimitDemand(
  state: RoutingState,
  stamp: EventBase,
  key: string,
  tokens: number,
): RoutingState {
  const use = useOf(state, key, stamp.atMs);
  return use ? keepUse(state, key, noteDemand(use, tokens)) : state;
}

/** Takes a request's share of its limit; `undefined` when it must wait. */
export function takeShare(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): RoutingState | undefined {
  const key = routed.limitKey;
  if (key === undefined) return state;
  const use = useOf(state, key, stamp.atMs);
  if (!use) return state;
  const taken = takeLimit(use, tokensOf(routed.request), stamp.atMs);
  return taken && keepUse(state, key, taken);
}

/** Returns the tokens that a request counts for. */
export function tokensOf(request: RequestInfo): number {
  return request.promptTokens + request.maxOutputTokens;
}

/** Gives back the concurrency of a request that has ended. */
export function releaseShare(
  state: RoutingState,
  routed: RoutedRequest,
): RoutingState {
  const key = routed.limitKey;
  const use = key === undefined ? undefined : state.limitUses.get(key);
  if (key === undefined || !use || routed.phase === 'limited') return state;
  return keepUse(state, key, releaseLimit(use));
}

/** Reports use and demand to the coordinators, where it is time. */
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
        state: keepUse(done.state, key, reported),
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

/** As coordinator: answers a report with a grant. */
export function answerLimitReport(
  state: RoutingState,
  { atMs }: EventBase,
  fromEntryId: string,
  message: RoutingMessage & { readonly type: 'limitWanted' },
): RoutingStep {
  const { key, wanted, inFlight, reportedAtMs } = message;
  const placed = placeLimit(state, key);
  if (placed?.coordinatorId !== state.self?.entryId || !placed) {
    return withEffects(state, []);
  }
  const known: CoordinatedLimit = state.coordinatedLimits.get(key) ?? {
    sinceMs: state.viewSinceMs,
    claims: new Map(),
  };
  const { coordinated, granted } = grantShare(
    known,
    { fromEntryId, wanted, inFlight },
    { ...placed, atMs },
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

/** Takes a grant. */
export function takeLimitGrant(
  state: RoutingState,
  { atMs }: EventBase,
  message: RoutingMessage & { readonly type: 'limitGranted' },
): RoutingState {
  const use = state.limitUses.get(message.key);
  if (!use) return state;
  const { granted, reportedAtMs } = message;
  const times = { reportedAtMs, atMs };
  return keepUse(state, message.key, acceptGrant(use, granted, times));
}

/** Applies a changed table or view of entries to the limits in use. */
export function replaceLimits(state: RoutingState): RoutingState {
  const limitUses = [...state.limitUses].flatMap(([key, use]) => {
    const placed = placeLimit(state, key);
    return placed ? [[key, { ...use, ...placed }] as const] : [];
  });
  const liveIds = new Set(state.live.map(({ entryId }) => entryId));
  const coordinatedLimits = [...state.coordinatedLimits]
    .filter(
      ([key]) => placeLimit(state, key)?.coordinatorId === state.self?.entryId,
    )
    .map(([key, known]) => [key, withoutClaimsOfDead(known, liveIds)] as const);
  return {
    ...state,
    limitUses: new Map(limitUses),
    coordinatedLimits: new Map(coordinatedLimits),
  };
}

function useOf(
  state: RoutingState,
  key: string,
  atMs: number,
): LimitUse | undefined {
  const known = state.limitUses.get(key);
  if (known) return known;
  const placed = placeLimit(state, key);
  return placed && newLimitUse(placed, atMs);
}

function withoutClaimsOfDead(
  known: CoordinatedLimit,
  liveIds: ReadonlySet<string>,
): CoordinatedLimit {
  const claims = [...known.claims].filter(([id]) => liveIds.has(id));
  return { ...known, claims: new Map(claims) };
}

/** Returns a limit with its homes, as this entry sees them. */
function placeLimit(state: RoutingState, key: string) {
  const address = tableRowKeySchema.safeParse(toAddress(key)).data;
  const limit = address && limitOf(state, address);
  if (!limit) return undefined;
  const selfId = state.self?.entryId ?? '';
  const homes = homesInRegions(state, address.workspace);
  const [coordinator] = pickHomes(address.workspace, homes, { count: 1 });
  return {
    limit,
    homeCount: homes.length,
    isHome:
      homes.length === 0 || homes.some(({ entryId }) => entryId === selfId),
    coordinatorId: coordinator?.entryId ?? selfId,
  };
}

/** Homes of a workspace in all regions; together they share its limits. */
function homesInRegions(
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

function toAddress(key: string): unknown {
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

function keepUse(
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
      atMs - Math.max(use.reportedAtMs, use.creditAtMs) < FORGET_USE_MS,
  );
  if (kept.length === state.limitUses.size) return state;
  return { ...state, limitUses: new Map(kept) };
}
