import type { MemberUpdate } from '@endivegate/contracts/peers';
import * as E from 'fp-ts/lib/Either.js';
import type { PeerAddress, PeerClient } from '../peers/index.ts';

/** Options of {@link learnFromSeeds}. */
export interface LearnFromSeedsOptions {
  /** `host:port` of peers. */
  readonly seeds: readonly string[];
  readonly client: Pick<PeerClient, 'fetchMembers'>;
  readonly onMembers: (updates: readonly MemberUpdate[]) => void;
}

/**
 * Asks the seeds of the settings for the members they know.
 *
 * An entry uses this while the platform's instance list cannot be read.
 *
 * @param options - Seeds, client and receiver.
 * @returns When every seed has answered or failed.
 */
export async function learnFromSeeds(
  options: LearnFromSeedsOptions,
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
