import { chainSteps } from '../chainSteps/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';
import { applyUpdates } from './_lib/applyUpdates.ts';
import { EXIT_FANOUT, GOSSIP_BURST_BYTES } from './_lib/constants.ts';
import { applyList } from './_lib/list.ts';
import { createRandomInt, sample } from './_lib/random.ts';
import { receivePacket } from './_lib/receive.ts';
import { sendGossip, stepTimers } from './_lib/timers.ts';
import type {
  MembershipEffect,
  MembershipEvent,
  MembershipState,
} from './types.ts';

export type * from './types.ts';

const initial: MembershipState = {
  self: undefined,
  revision: 0,
  leaving: false,
  supersededBy: 0,
  exited: false,
  nowMs: 0,
  members: new Map(),
  probeOrder: [],
  deadIds: [],
  probeCursor: 0,
  repairCursor: 0,
  sequence: 0,
  probe: undefined,
  nextProbeAtMs: 0,
  nextDeadProbeAtMs: 0,
  nextGossipAtMs: 0,
  proxyProbes: [],
  suspicionDeadlines: new Map(),
  transmitCounts: new Map(),
  tableNumber: 0,
  tableTransmitCount: 0,
  gossipBudgetBytes: GOSSIP_BURST_BYTES,
  healthPenalty: 0,
  changed: false,
  fetched: false,
  nextFetchAtMs: 0,
};

/**
 * Tracks the members of the fleet with a SWIM-style gossip protocol.
 *
 * Each member probes one other member per second. If the probed member does not
 * answer, other members are asked to probe it (indirect probes); if they get no
 * answer either, it is marked as suspect. A suspected member that is alive
 * refutes the suspicion with a higher revision; otherwise it is declared dead
 * when the suspicion times out. Updates are piggybacked on probes and also sent
 * in short gossip bursts within a fixed byte budget.
 */
export const membershipSlice: Slice<
  MembershipState,
  MembershipEvent,
  MembershipEffect
> = {
  initial,
  reduce: (state, event) => {
    if (state.exited) return unchanged(state);
    switch (event.type) {
      case 'entry.started':
        return unchanged(start(event));
      case 'clock.ticked':
        return state.self ? stepTimers(state, event) : unchanged(state);
      case 'membership.received':
        return receivePacket(state, event);
      case 'membership.listed':
        return applyList(state, event);
      case 'membership.fetched':
        return applyUpdates({ ...state, fetched: true }, event.updates, {
          gossip: false,
        });
      case 'table.installed':
        return unchanged({
          ...state,
          tableNumber: Math.max(state.tableNumber, event.number),
          tableTransmitCount: 0,
        });
      case 'leaving.requested':
        return unchanged(
          state.leaving ? state : announceSelf({ ...state, leaving: true }),
        );
      case 'leaving.finished':
        return announceExit(state, event.random);
      default:
        return unchanged(state);
    }
  },
};

function start(
  event: Extract<
    Parameters<typeof membershipSlice.reduce>[1],
    {
      type: 'entry.started';
    }
  >,
): MembershipState {
  return {
    ...initial,
    self: event.self,
    nowMs: event.atMs,
    nextProbeAtMs: event.atMs,
    transmitCounts: new Map([[event.self.entryId, 0]]),
    changed: true,
  };
}

/** Gossips a new revision of this entry's own record. */
function announceSelf(state: MembershipState): MembershipState {
  const { self } = state;
  if (!self) return state;
  return {
    ...state,
    revision: state.revision + 1,
    transmitCounts: new Map(state.transmitCounts).set(self.entryId, 0),
    nextGossipAtMs: 0,
    changed: true,
  };
}

/**
 * Notifies some members that this entry exits, so that no member has to detect
 * the exit by failed probes.
 */
function announceExit(
  state: MembershipState,
  random: number,
): Step<MembershipState, MembershipEffect> {
  const exited = announceSelf({ ...state, exited: true });
  const receivers = sample(
    state.probeOrder,
    EXIT_FANOUT,
    createRandomInt(random),
  );
  return chainSteps<MembershipState, MembershipEffect>(
    exited,
    receivers.map((entryId) => (s) => sendGossip(s, entryId)),
  );
}
