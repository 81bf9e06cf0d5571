/** Bytes that are held for one caller. */
export interface Holding {
  /**
   * Sets the number of bytes. Returns false, and holds nothing more, if there is no room
   * for them.
   */
  readonly resize: (bytes: number) => boolean;
  /** Keeps the bytes from being evicted, as they are complete. */
  readonly settle: () => void;
  readonly release: () => void;
}

/** Options of {@link ByteBudget.hold}. */
export interface HoldOptions {
  /** Who the bytes are held for, such as the workspace. */
  readonly owner: string;
  /** Called once if the bytes have to make room for others; they are released by then. */
  readonly onEvict: () => void;
}

/** A bound on the bytes that are held for all callers together. */
export interface ByteBudget {
  readonly hold: (options: HoldOptions) => Holding;
  readonly usedBytes: () => number;
}

/** Options of {@link createByteBudget}. */
export interface CreateByteBudgetOptions {
  readonly maxBytes: number;
  /** Largest holding that is small; 64 KiB by default. */
  readonly maxSmallBytes?: number;
  /** Part of the budget that only small holdings use; a quarter by default. */
  readonly smallShare?: number;
  /** Time after which a holding that did not progress is stalled; 1 s by default. */
  readonly stallMs?: number;
  /** Bytes that count as progress; 64 KiB by default. */
  readonly progressBytes?: number;
  /** Monotonic time in ms; `performance.now` by default. */
  readonly now?: () => number;
}

interface HeldBytes extends HoldOptions {
  readonly heldSinceMs: number;
  bytes: number;
  progressAtMs: number;
  bytesAtProgress: number;
  isSettled: boolean;
}

const KIB = 1024;

/**
 * Creates a bound on the bytes that are held for callers, who send as much and as slowly
 * as they like.
 *
 * When the budget is full, incomplete holdings that have stalled make room, those first
 * that were held the most and the longest. If none has stalled, the owner that holds the
 * most loses its newest incomplete holding, which may be the one that asks. A part of the
 * budget is kept for small holdings, so that large ones, which may all be complete, never
 * exclude them. Client addresses do not matter, since many callers may share one.
 *
 * @param options - Sizes and times.
 * @returns The empty budget.
 *
 * @example
 * const budget = createByteBudget({ maxBytes: 50_000_000 });
 * const holding = budget.hold({ owner: 'w1', onEvict: refuse });
 * if (!holding.resize(4096)) refuse();
 */
export function createByteBudget(options: CreateByteBudgetOptions): ByteBudget {
  const {
    maxBytes,
    maxSmallBytes = 64 * KIB,
    smallShare = 0.25,
    stallMs = 1000,
    progressBytes = 64 * KIB,
    now = () => performance.now(),
  } = options;
  const maxLargeBytes = maxBytes * (1 - smallShare);
  const all = new Set<HeldBytes>();
  let usedBytes = 0;
  let largeBytes = 0;

  const isLarge = ({ bytes }: HeldBytes): boolean => bytes > maxSmallBytes;

  function setBytes(held: HeldBytes, bytes: number): void {
    usedBytes += bytes - held.bytes;
    if (isLarge(held)) largeBytes -= held.bytes;
    held.bytes = bytes;
    if (isLarge(held)) largeBytes += bytes;
    if (bytes - held.bytesAtProgress < progressBytes) return;
    held.bytesAtProgress = bytes;
    held.progressAtMs = now();
  }

  function remove(held: HeldBytes): void {
    if (!all.delete(held)) return;
    usedBytes -= held.bytes;
    if (isLarge(held)) largeBytes -= held.bytes;
  }

  /** Evicts others until all fit. Returns whether the given holding is kept. */
  function makeRoomFor(held: HeldBytes): boolean {
    if (largeBytes <= maxLargeBytes && usedBytes <= maxBytes) return true;
    const victim = pickStalled(candidates()) ?? pickNewest(activeFor(held));
    remove(victim ?? held);
    if (victim === undefined || victim === held) return false;
    victim.onEvict();
    return !all.has(held) || makeRoomFor(held);
  }

  /** Lists incomplete holdings that can make room. */
  function candidates(): readonly HeldBytes[] {
    const isShortOfLarge = largeBytes > maxLargeBytes;
    return [...all].filter(
      (one) =>
        !one.isSettled && one.bytes > 0 && (!isShortOfLarge || isLarge(one)),
    );
  }

  /** Lists those that make room for a holding although they progress. Large ones never cost
   * a small one, and small ones cost a large one within their own part only. */
  function activeFor(held: HeldBytes): readonly HeldBytes[] {
    const smallBytes = usedBytes - largeBytes;
    const isWithinPart = smallBytes <= maxBytes - maxLargeBytes;
    const takesLarge = isLarge(held) || isWithinPart;
    return candidates().filter((one) => isLarge(one) === takesLarge);
  }

  function pickStalled(from: readonly HeldBytes[]): HeldBytes | undefined {
    const nowMs = now();
    const rank = ({ bytes, progressAtMs }: HeldBytes): number =>
      bytes * (nowMs - progressAtMs);
    return from
      .filter(({ progressAtMs }) => nowMs - progressAtMs >= stallMs)
      .toSorted((a, b) => rank(b) - rank(a))[0];
  }

  /** Picks the newest holding of the owner that holds the most. */
  function pickNewest(from: readonly HeldBytes[]): HeldBytes | undefined {
    const bytesByOwner = [...all].reduce(
      (sums, { owner, bytes }) =>
        sums.set(owner, (sums.get(owner) ?? 0) + bytes),
      new Map<string, number>(),
    );
    const rank = ({ owner }: HeldBytes): number => bytesByOwner.get(owner) ?? 0;
    return from.toSorted(
      (a, b) => rank(b) - rank(a) || b.heldSinceMs - a.heldSinceMs,
    )[0];
  }

  return {
    hold(holder) {
      const held: HeldBytes = {
        ...holder,
        heldSinceMs: now(),
        bytes: 0,
        progressAtMs: now(),
        bytesAtProgress: 0,
        isSettled: false,
      };
      all.add(held);
      return {
        resize(bytes) {
          if (!all.has(held)) return false;
          setBytes(held, bytes);
          return makeRoomFor(held);
        },
        settle() {
          held.isSettled = true;
        },
        release() {
          remove(held);
        },
      };
    },
    usedBytes: () => usedBytes,
  };
}
