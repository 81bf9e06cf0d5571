import type { RosterState } from '@endivegate/core/forwarding';
import type { TargetCodec } from './peerMessage.ts';

/**
 * Creates a codec for target ids that uses the current roster.
 *
 * @param roster - Returns the current roster.
 * @returns The codec.
 */
export function createTargetCodec(roster: () => RosterState): TargetCodec {
  let indexedTargets: RosterState['targets'] | undefined;
  let idsByHash: ReadonlyMap<number, string> = new Map();
  return {
    hashOf: (targetId) => roster().targets.get(targetId)?.idHash,
    idOf(hash) {
      const { targets } = roster();
      if (targets !== indexedTargets) {
        indexedTargets = targets;
        idsByHash = new Map(
          [...targets.values()].map((target) => [target.idHash, target.id]),
        );
      }
      return idsByHash.get(hash);
    },
  };
}
