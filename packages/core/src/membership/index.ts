import { chainSteps } from '../chainSteps/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';
import { applyUpdates } from './_lib/applyUpdates.ts';
import { FAREWELL_FANOUT, GOSSIP_BURST_BYTES } from './_lib/constants.ts';
import { applyList } from './_lib/list.ts';
import { createDraw, drawSome } from './_lib/random.ts';
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
  gone: false,
  nowMs: 0,
  members: new Map(),
  order: [],
  deadIds: [],
  cursor: 0,
  repairCursor: 0,
  sequence: 0,
  probe: undefined,
  nextProbeAtMs: 0,
  nextDeadProbeAtMs: 0,
  nextGossipAtMs: 0,
  proxyProbes: [],
  suspicions: new Map(),
  spreading: new Map(),
  tableNumber: 0,
  tableCopies: 0,
  budgetBytes: GOSSIP_BURST_BYTES,
  healthPenalty: 0,
  changed: false,
  fetched: false,
  nextFetchAtMs: 0,
};

/**
 * Keeps the members of the fleet by periodic probes between the entries.
 *
 * Each member probes one other a second, asks helpers when it does not answer,
 * and suspects it when they get no answer either. A suspected member that
 * lives refutes this by a higher revision; one that does not counts as dead
 * after the suspicion's time. Updates travel on the probes, and in short
 * bursts of gossip within a fixed budget of bytes.
 */
export const membershipSlice: Slice<
  MembershipState,
  MembershipEvent,
  MembershipEffect
> = {
  initial,
  reduce: (state, event) => {
    if (state.gone) return unchanged(state);
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
          spread: false,
        });
      case 'table.installed':
        return unchanged({
          ...state,
          tableNumber: Math.max(state.tableNumber, event.number),
          tableCopies: 0,
        });
      case 'leaving.requested':
        return unchanged(
          state.leaving ? state : announce({ ...state, leaving: true }),
        );
      case 'leaving.finished':
        return sayFarewell(state, event.random);
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
    spreading: new Map([[event.self.entryId, 0]]),
    changed: true,
  };
}

/** Spreads a new record of this entry. */
function announce(state: MembershipState): MembershipState {
  const { self } = state;
  if (!self) return state;
  return {
    ...state,
    revision: state.revision + 1,
    spreading: new Map(state.spreading).set(self.entryId, 0),
    nextGossipAtMs: 0,
    changed: true,
  };
}

/** Tells some members that this entry exits, so that none has to detect it. */
function sayFarewell(
  state: MembershipState,
  random: number,
): Step<MembershipState, MembershipEffect> {
  const gone = announce({ ...state, gone: true });
  const receivers = drawSome(state.order, FAREWELL_FANOUT, createDraw(random));
  return chainSteps<MembershipState, MembershipEffect>(
    gone,
    receivers.map((entryId) => (s) => sendGossip(s, entryId)),
  );
}
