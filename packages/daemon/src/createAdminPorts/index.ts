import type {
  MembersBody,
  PlatformPort,
  TableStatusBody,
  TimelineBody,
} from '@endivegate/contracts';
import {
  describeOrders,
  type MergedTimeline,
  type RootState,
} from '@endivegate/core';
import type { AdminPorts } from '../admin/index.ts';
import { createTableAdmin } from '../createTableAdmin/index.ts';
import type { PeerClient } from '../peers/index.ts';
import type { Runtime } from '../runtime/index.ts';
import type { TableHandler } from '../table/index.ts';
import { readFleetTimeline, type Timeline } from '../timeline/index.ts';
import { createSuspectsPorts } from '../suspects/index.ts';
import { createOncePorts } from './_lib/createOncePorts.ts';

/** Options of {@link createAdminPorts}. */
export interface CreateAdminPortsOptions {
  readonly runtime: Runtime;
  readonly platform: PlatformPort;
  readonly table: TableHandler;
  readonly timeline: Timeline;
  readonly client: Pick<PeerClient, 'readTimeline'>;
}

/**
 * Creates the functions that the operators' API exposes.
 *
 * @param options - Components of the entry.
 * @returns The functions.
 */
export function createAdminPorts(options: CreateAdminPortsOptions): AdminPorts {
  const { runtime, platform, table, timeline, client } = options;
  return {
    table: createTableAdmin({
      store: { platform, cached: table.cached },
      activeNumber: () => runtime.state().table.number,
      onAccepted: (edit) => {
        table.activateEdit(edit, runtime);
      },
    }),
    activeTable: () => {
      const { number, document } = runtime.state().table;
      const empty = { rows: [], workspaces: [], models: [] };
      return { number, document: document ?? empty };
    },
    tableStatus: () => describeTableStatus(runtime.state()),
    members: () => describeMembers(runtime.state()),
    once: createOncePorts(platform),
    suspects: createSuspectsPorts(platform, runtime),
    orders: () => describeOrders(runtime.state().orders),
    timeline: (query) => async () => {
      const filter = { ...query, sinceWallMs: query.sinceUnixMs };
      const members = runtime.state().membership;
      const merged = await readFleetTimeline(filter, {
        localTimeline: timeline,
        members,
        client,
      });
      return { _tag: 'Right', right: describeTimeline(merged) };
    },
  };
}

function describeTableStatus(state: RootState): TableStatusBody {
  const { number, numbersByEntry, selfId, live } = state.table;
  return {
    number,
    entries: live.map(({ entryId, dataCentre }) => ({
      entryId,
      dataCentre,
      number: entryId === selfId ? number : (numbersByEntry.get(entryId) ?? 0),
    })),
  };
}

function describeMembers(state: RootState): MembersBody {
  const { self, leaving, members } = state.membership;
  const own =
    self === undefined
      ? []
      : [describeMember(self, leaving ? 'leaving' : 'live')];
  const others = [...members.values()].map((member) => {
    if (member.status === 'dead') return describeMember(member.address, 'dead');
    if (member.leaving) return describeMember(member.address, 'leaving');
    const isAlive = member.status === 'alive';
    return describeMember(member.address, isAlive ? 'live' : 'suspect');
  });
  return { members: [...own, ...others] };
}

function describeMember(
  address: Omit<MembersBody['members'][number], 'state'>,
  state: MembersBody['members'][number]['state'],
): MembersBody['members'][number] {
  const { entryId, incarnation, region, dataCentre } = address;
  return { entryId, incarnation, region, dataCentre, state };
}

function describeTimeline(merged: MergedTimeline): TimelineBody {
  return {
    records: merged.records.map(({ timestamp, entryId, event }) => ({
      ...timestamp,
      entryId,
      event: { ...event },
    })),
    gaps: merged.gaps.map((gap) => ({ ...gap })),
  };
}
