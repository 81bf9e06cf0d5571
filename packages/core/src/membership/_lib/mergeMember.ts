import type { Member, MemberStatus, MemberUpdate } from '../types.ts';

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/**
 * Merges an update into the record of a member.
 *
 * A later incarnation wins, then a higher revision, then the worse status.
 * `leaving` is never reset within an incarnation. Merging is idempotent and
 * does not depend on the order of updates.
 *
 * @param known - The current record, or undefined for an unknown member.
 * @param update - Update received from another member.
 * @param atMs - Time of the update.
 * @returns The merged record; `known` itself when the update changes nothing.
 */
export function mergeMember(
  known: Member | undefined,
  update: MemberUpdate,
  atMs: number,
): Member | undefined {
  const address = update.address ?? known?.address;
  if (!address) return known;
  if (!known || update.incarnation > known.address.incarnation) {
    if (address.incarnation !== update.incarnation) return known;
    return {
      address,
      revision: update.revision,
      status: update.status,
      leaving: update.leaving,
      changedAtMs: atMs,
    };
  }
  if (update.incarnation < known.address.incarnation) return known;
  const leaving = known.leaving || update.leaving;
  if (!isNewer(known, update)) {
    return leaving === known.leaving
      ? known
      : { ...known, leaving, changedAtMs: atMs };
  }
  return {
    address: known.address,
    revision: update.revision,
    status: update.status,
    leaving,
    changedAtMs: atMs,
  };
}

function isNewer(known: Member, update: MemberUpdate): boolean {
  if (update.revision !== known.revision) {
    return update.revision > known.revision;
  }
  return STATUS_RANK[update.status] > STATUS_RANK[known.status];
}
