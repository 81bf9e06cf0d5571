import { scoreRendezvous } from '../../scoreRendezvous/index.ts';

/**
 * Checks whether an entry is the one that does something for a key. Entries that
 * know the same others agree on it without a message.
 *
 * @param key - What is to be done once.
 * @param own - Name of the entry.
 * @param others - Names of the other entries that could do it.
 * @returns Whether no other entry ranks before it by rendezvous hashing.
 *
 * @example
 * ranksFirst('trial', 'entry-1', ['entry-2', 'entry-3']);
 */
export function ranksFirst(
  key: string,
  own: string,
  others: readonly string[],
): boolean {
  const ownScore = scoreRendezvous(key, own);
  return others.every((name) => scoreRendezvous(key, name) < ownScore);
}
