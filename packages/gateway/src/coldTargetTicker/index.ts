import {
  commonVersion,
  type GatewayState,
  type MemberReport,
  type OwnMember,
  type WarmUpBound,
  type WarmUpRule,
} from '@endivegate/core/forwarding';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';

/** Bound where the deployment names none: that of the users' deployments. */
const DEFAULT_BOUND: WarmUpBound = { overrun: 1.5, slack: 5 };

/** Builds before this version do not know cold targets and send to them as to others. */
const AWARE_PROTOCOL_VERSION = 1;

/** Options of {@link createColdTargetTicker}. */
export interface CreateColdTargetTickerOptions {
  readonly runtime: GatewayRuntime;
  readonly metrics: Pick<GatewayMetrics, 'coldTargets'>;
  /** Describes this entry. */
  readonly own: () => OwnMember;
  /** Initial addresses of other entries; some may be out of date. */
  readonly seedAddresses: readonly string[];
  readonly bound?: WarmUpBound | undefined;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/**
 * Creates the function that passes to the cold targets the time, the targets and the
 * other entries. It does nothing while no service asks for a warm-up.
 *
 * @param options - State, bound and description of this entry.
 * @returns The function, to be called every 200 ms.
 *
 * @example
 * const tick = createColdTargetTicker({ runtime, metrics, own, seedAddresses, now });
 */
export function createColdTargetTicker(
  options: CreateColdTargetTickerOptions,
): () => void {
  const { runtime, metrics, bound = DEFAULT_BOUND } = options;
  let rules: ReadonlyMap<string, WarmUpRule> = new Map();
  let isFirst = true;
  runtime.onConfig(({ config }) => {
    rules = new Map(
      config.services.flatMap(
        ({ name, warmUpMs = 0, warmUpRequestsPerS = 0 }) =>
          warmUpRequestsPerS > 0
            ? [[name, { warmUpMs, requestsPerS: warmUpRequestsPerS }] as const]
            : [],
      ),
    );
  });

  return () => {
    const state = runtime.state();
    if (rules.size === 0 && state.coldTargets.rules.size === 0) return;
    const own = options.own();
    const seeds = isFirst
      ? options.seedAddresses
          .filter((address) => address !== own.address)
          .map(unheardMember)
      : [];
    isFirst = false;
    runtime.dispatch({
      type: 'coldTargets.ticked',
      atMs: options.now(),
      rules,
      bound,
      targets: [...state.roster.targets.values()],
      members: [...seeds, ...membersOf(state)],
      own,
    });
    metrics.coldTargets(runtime.state().coldTargets.cold.size);
  };
}

function unheardMember(address: string): MemberReport {
  return {
    address,
    dataCentre: undefined,
    heardAtMs: undefined,
    isLeaving: false,
    isAware: true,
  };
}

function membersOf({ peers }: GatewayState): readonly MemberReport[] {
  return [...peers.values()].map((peer) => ({
    address: peer.peerAddress,
    dataCentre: peer.dataCentre,
    heardAtMs: peer.heardAtMs,
    isLeaving: peer.isLeaving,
    isAware: commonVersion(peer) >= AWARE_PROTOCOL_VERSION,
  }));
}
