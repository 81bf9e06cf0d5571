import type { EntryAddress } from '@endivegate/contracts';
import {
  mergeTimelines,
  type EntryTimeline,
  type MembershipState,
  type MergedTimeline,
  type TimelineFilter,
  type TimelineRecord,
} from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { PeerClient } from '../../peers/index.ts';
import type { Timeline } from '../createTimeline/index.ts';
import { fromWireRecord, toWireFilter } from '../timelineWire/index.ts';

/** Options of {@link readFleetTimeline}. */
export interface ReadFleetTimelineOptions {
  readonly localTimeline: Timeline;
  readonly members: MembershipState;
  readonly client: Pick<PeerClient, 'readTimeline'>;
  readonly timeoutMs?: number;
}

/** Maximum number of entries read concurrently. */
const MAX_CONCURRENT_READS = 16;

/** Timeout of the read from one entry. */
const READ_TIMEOUT_MS = 3_000;

/**
 * Reads and merges the timelines of all entries.
 *
 * Entries that are dead or unreachable are reported as gaps.
 *
 * @param filter - Which records to return.
 * @param options - The local timeline, the members and the peer client.
 * @returns Records in clock order, and the gaps.
 *
 * @example
 * const merged = await readFleetTimeline({ requestId }, { localTimeline, members, client });
 */
export async function readFleetTimeline(
  filter: TimelineFilter,
  options: ReadFleetTimelineOptions,
): Promise<MergedTimeline> {
  const timelines: EntryTimeline[] = [
    { type: 'records', records: options.localTimeline.read(filter) },
  ];
  const pendingMembers = [...options.members.members.values()];
  const readNext = async (): Promise<void> => {
    const member = pendingMembers.shift();
    if (!member) return;
    const { entryId } = member.address;
    timelines.push(
      member.status === 'dead'
        ? { type: 'gap', entryId, reason: 'dead' }
        : await readEntry(member.address, filter, options),
    );
    return readNext();
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, readNext));
  return mergeTimelines(timelines, filter.limit);
}

async function readEntry(
  address: EntryAddress,
  filter: TimelineFilter,
  options: ReadFleetTimelineOptions,
): Promise<EntryTimeline> {
  const { client, timeoutMs = READ_TIMEOUT_MS } = options;
  const wire = await client.readTimeline(
    address,
    toWireFilter(filter),
    timeoutMs,
  )();
  if (E.isLeft(wire)) {
    return { type: 'gap', entryId: address.entryId, reason: 'unreachable' };
  }
  const records = wire.right.flatMap<TimelineRecord>(
    (record) => fromWireRecord(record) ?? [],
  );
  return { type: 'records', records };
}
