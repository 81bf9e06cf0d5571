import type { ColdTargetsState, Member, MemberReport } from '../types.ts';

/** Entries are remembered for this long while they are silent, so that a partition
 * does not make the shares of either side grow. */
const MEMBER_MS = 600_000;

/** An address at which no entry ever reported may be out of date. */
const UNHEARD_MEMBER_MS = 60_000;

/** A leaving entry sends nothing new, and all entries know of it by then. */
const LEAVING_MEMBER_MS = 3000;

/** Time after which the others know an entry that started, and what it sent before
 * has arrived. */
const SETTLING_MS = 3000;

/** Part of the fleet from which an entry has to receive a message before it gets shares. */
const MIN_HEARD_PART = 0.5;

/** Adds reports on entries, and removes entries that were silent for too long. */
export function withMembers(
  members: ReadonlyMap<string, Member>,
  reports: readonly MemberReport[],
  atMs: number,
): ReadonlyMap<string, Member> {
  const next = new Map(members);
  reports.forEach((report) => {
    const known = next.get(report.address);
    if (known !== undefined && report.heardAtMs === undefined) return;
    const addedAtMs = known?.addedAtMs ?? atMs;
    const isStillLeaving = known?.isLeaving === true && report.isLeaving;
    next.set(report.address, {
      ...report,
      addedAtMs,
      heardAtMs: isStillLeaving ? known.heardAtMs : report.heardAtMs,
    });
  });
  return new Map([...next].filter(([, member]) => !isExpired(member, atMs)));
}

function isExpired(member: Member, atMs: number): boolean {
  if (member.heardAtMs === undefined) {
    return atMs - member.addedAtMs >= UNHEARD_MEMBER_MS;
  }
  const lifetimeMs = member.isLeaving ? LEAVING_MEMBER_MS : MEMBER_MS;
  return atMs - member.heardAtMs >= lifetimeMs;
}

/** Whether two sets of entries are divided in the same way. */
export function hasSameMembers(
  one: ReadonlyMap<string, Member>,
  other: ReadonlyMap<string, Member>,
): boolean {
  return (
    one.size === other.size &&
    [...one.values()].every((member) => {
      const match = other.get(member.address);
      return (
        match !== undefined &&
        match.dataCentre === member.dataCentre &&
        match.isAware === member.isAware
      );
    })
  );
}

/**
 * Whether this entry may have shares: it runs long enough for the others to know
 * it, and has heard from enough of them since. An entry that knew of others and has
 * heard from none waits until those are forgotten: it may be alone in a partition.
 */
export function isSettled(
  state: Pick<
    ColdTargetsState,
    'members' | 'settlingSinceMs' | 'isServing' | 'hasHadMembers'
  >,
  atMs: number,
): boolean {
  const sinceMs = state.settlingSinceMs;
  const ageMs = atMs - sinceMs;
  if (!state.isServing || ageMs < SETTLING_MS) return false;
  if (ageMs >= MEMBER_MS) return true;
  const members = [...state.members.values()];
  const heard = members.filter(
    ({ heardAtMs }) => heardAtMs !== undefined && heardAtMs >= sinceMs,
  ).length;
  return (
    (heard > 0 || !state.hasHadMembers) &&
    heard + 1 >= (members.length + 1) * MIN_HEARD_PART
  );
}
