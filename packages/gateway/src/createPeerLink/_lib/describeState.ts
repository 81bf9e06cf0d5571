import {
  type GatewayState,
  type PeerStatus,
  processKey,
  type TargetProcess,
} from '@endivegate/core/forwarding';
import { chunkRows } from './chunkRows.ts';
import type { PeerMessage } from './peerMessage.ts';

/** An entry's state and when it is described. */
export interface DescribedEntry {
  readonly state: GatewayState;
  readonly self: PeerStatus;
  readonly nowMs: number;
}

/** A draining process is told for this long, which allows for lost datagrams. */
const DRAINING_NEWS_MS = 10_000;

/** Bytes of draining processes in one message, which a datagram holds beside the rest. Of
 * more, one part after the other is told. */
const MAX_DRAINING_BYTES = 16_000;

/** Time after which the next part is told; a few messages are sent meanwhile. */
const DRAINING_PART_MS = 1000;

/** Datagrams may be lost, but a sound request that was accused clears itself soon. */
const CRASH_REPORT_MS = 3000;

/** Describes what an entry shares with its peers. */
export function describeState(entry: DescribedEntry): PeerMessage {
  const { state, self } = entry;
  return {
    self,
    flights: [...state.load.flights.values()],
    drainingProcesses: recentlyDraining(entry),
    crashes: recentCrashes(entry),
    addresses: [],
  };
}

/** Deaths that this entry confirmed, for entries of earlier builds. */
function recentCrashes({
  state,
  nowMs,
}: DescribedEntry): PeerMessage['crashes'] {
  return [...state.partSuspects.deaths.values()].flatMap(
    ({ crash, endedAtMs }) =>
      crash === undefined || endedAtMs <= nowMs - CRASH_REPORT_MS
        ? []
        : [crash],
  );
}

/** Draining processes that peers may not know of yet. */
function recentlyDraining({
  state,
  nowMs,
}: DescribedEntry): readonly TargetProcess[] {
  const { targets, drainedProcesses } = state.roster;
  if (drainedProcesses.size === 0) return [];
  const sinceMs = nowMs - DRAINING_NEWS_MS;
  const processes = [...targets.values()]
    .filter((target) => target.draining)
    .filter(
      (target) => (drainedProcesses.get(processKey(target)) ?? 0) > sinceMs,
    )
    .map(({ id, bornMs }) => ({ id, bornMs }));
  const parts = chunkRows(processes, {
    maxRows: processes.length,
    maxBytes: MAX_DRAINING_BYTES,
  });
  return parts[Math.floor(nowMs / DRAINING_PART_MS) % parts.length] ?? [];
}
