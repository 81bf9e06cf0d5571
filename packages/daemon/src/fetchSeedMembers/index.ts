import type { MemberUpdate } from '@endivegate/contracts/peers';
import * as E from 'fp-ts/lib/Either.js';
import type { PeerAddress, PeerClient } from '../peers/index.ts';

/** Options of {@link fetchSeedMembers}. */
export interface FetchSeedMembersOptions {
  /** Addresses of peers as `host:port`. */
  readonly seeds: readonly string[];
  readonly client: Pick<PeerClient, 'fetchMembers'>;
  readonly onMembers: (updates: readonly MemberUpdate[]) => void;
}

/**
 * Fetches the known members from the seed peers of the settings.
 *
 * An entry does this at start, and when the platform's instance list cannot be
 * read while the entry knows no other member.
 *
 * @param options - Seeds, client and callback.
 * @returns A promise that resolves when every seed has answered or failed.
 */
export async function fetchSeedMembers(
  options: FetchSeedMembersOptions,
): Promise<void> {
  const replies = await Promise.all(
    options.seeds
      .map(toPeerAddress)
      .map((peer) => options.client.fetchMembers(peer)()),
  );
  replies.filter(E.isRight).forEach((reply) => {
    options.onMembers(reply.right);
  });
}

function toPeerAddress(seed: string): PeerAddress {
  const colon = seed.lastIndexOf(':');
  return {
    host: seed.slice(0, colon),
    peerPort: Number(seed.slice(colon + 1)),
  };
}
