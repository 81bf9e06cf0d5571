/**
 * Selects the entry of a data centre that batches the messages of the others.
 */
export interface HubSelector {
  /**
   * Returns the hub among these addresses, the most preferred first. Undefined if the last hub has just
   * missed its deadline, or if all addresses are being avoided.
   */
  readonly pick: (
    addresses: readonly string[],
    nowMs: number,
  ) => string | undefined;
  /**
   * Call when a message was sent to the hub, which has to send its batch back.
   */
  readonly messageSent: (address: string, nowMs: number) => void;
  /** Call when a datagram from this address was received. */
  readonly datagramReceived: (address: string) => void;
}

/**
 * Time within which a hub must send back its batch; usually it is much faster.
 */
const ECHO_TIMEOUT_MS = 400;

/** How long a hub that sent nothing back is not selected again. */
const AVOID_MS = 5000;

/**
 * Creates a hub selector. All entries prefer the same addresses, so they agree
 * without coordination. If they disagree, the only cost is extra datagrams,
 * since any entry batches the messages sent to it.
 */
export function createHubSelector(): HubSelector {
  const avoidedUntilMs = new Map<string, number>();
  let pendingEcho:
    { readonly address: string; readonly sinceMs: number } | undefined;

  return {
    pick(addresses, nowMs) {
      if (
        pendingEcho !== undefined &&
        nowMs - pendingEcho.sinceMs >= ECHO_TIMEOUT_MS
      ) {
        avoidedUntilMs.set(pendingEcho.address, nowMs + AVOID_MS);
        pendingEcho = undefined;
        return undefined;
      }
      return addresses.find((one) => (avoidedUntilMs.get(one) ?? 0) <= nowMs);
    },
    messageSent(address, nowMs) {
      pendingEcho ??= { address, sinceMs: nowMs };
    },
    datagramReceived(address) {
      if (pendingEcho?.address === address) pendingEcho = undefined;
    },
  };
}
