/** Chooses the entry of a data centre that gathers the others' messages. */
export interface HubChoice {
  /** The hub among these addresses; undefined when none is to be trusted now. */
  readonly pick: (
    addresses: readonly string[],
    nowMs: number,
  ) => string | undefined;
  /** A message was given to the hub: its batch is to come back. */
  readonly gave: (address: string, nowMs: number) => void;
  /** A datagram came from there. */
  readonly heard: (address: string) => void;
}

/** A hub sends what it gathered well within this. */
const ECHO_MS = 400;

/** A hub that sent nothing back is not chosen again for this long. */
const DISTRUST_MS = 5000;

/**
 * Creates the choice. All entries prefer the lowest address, so they agree
 * without a word; where they do not, nothing but datagrams is lost, since any
 * entry gathers what it is given.
 */
export function createHubChoice(): HubChoice {
  const distrustedUntilMs = new Map<string, number>();
  let awaited:
    { readonly address: string; readonly sinceMs: number } | undefined;

  return {
    pick(addresses, nowMs) {
      if (awaited !== undefined && nowMs - awaited.sinceMs >= ECHO_MS) {
        distrustedUntilMs.set(awaited.address, nowMs + DISTRUST_MS);
        awaited = undefined;
        return undefined;
      }
      return addresses
        .filter((one) => (distrustedUntilMs.get(one) ?? 0) <= nowMs)
        .toSorted()[0];
    },
    gave(address, nowMs) {
      awaited ??= { address, sinceMs: nowMs };
    },
    heard(address) {
      if (awaited?.address === address) awaited = undefined;
    },
  };
}
