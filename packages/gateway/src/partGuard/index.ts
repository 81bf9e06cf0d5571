import {
  findBlockedParts,
  hasRecords,
  type PartVerdict,
  ranksFirst,
  type SendEnd,
  servingPeers,
} from '@endivegate/core/forwarding';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { SendDestination } from '../planSend/index.ts';
import type { ForwardCall, ForwardContext } from '../forwardRequest/types.ts';

/** Keeps requests with parts that crash targets from being sent. */
export interface PartGuard {
  /**
   * Call before each send. Returns the reason for which the request must not be
   * sent, or undefined if it may be, possibly as the trial of a block.
   */
  readonly refusal: () => string | undefined;
  /** Whether the request must not be sent again. */
  readonly isBlocked: () => boolean;
  /** Time until the parts are tried again, limited; 0 if none is blocked. */
  readonly retryAfterMs: () => number;
  /** Call when the first event of an answer arrived. */
  readonly answerBegan: () => void;
  /** Call with the end of each send. */
  readonly sendEnded: (send: EndedSend, end: SendEnd) => void;
}

/** A send that has ended. */
export interface EndedSend {
  readonly target: SendDestination;
  /** Monotonic time at which its first byte left; undefined if none did. */
  readonly sentAtMs: number | undefined;
}

/** Dependencies of {@link createPartGuard}. */
export interface PartGuardContext extends Pick<
  ForwardContext,
  'runtime' | 'targetDeaths' | 'entryName' | 'now'
> {
  readonly metrics: Pick<GatewayMetrics, 'partSuspected'>;
}

/** Callers are not told to come back later than this. */
const MAX_RETRY_AFTER_MS = 60_000;

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

/**
 * Creates the guard of one request.
 *
 * @param call - The request.
 * @param context - State of the gateway.
 * @returns The guard.
 *
 * @example
 * const guard = createPartGuard(call, context);
 */
export function createPartGuard(
  call: Pick<ForwardCall, 'attemptId' | 'service' | 'caller'>,
  context: PartGuardContext,
): PartGuard {
  const { runtime, metrics, now } = context;
  const parts = call.caller.sharedParts;
  const service = call.service.name;
  let hasBegun = false;

  function verdict(): PartVerdict | undefined {
    const { partSuspects } = runtime.state();
    return findBlockedParts(partSuspects, { service, parts, nowMs: now() });
  }

  /** Whether this entry tries the parts again, chosen alike by all entries. */
  function isTrialEntry(key: string): boolean {
    const peers = servingPeers(runtime.state().peers, now());
    const names = peers.map((peer) => peer.name);
    return ranksFirst(key, context.entryName, names);
  }

  function refusal(): string | undefined {
    const found = verdict();
    if (found === undefined) return undefined;
    if (found.type === 'try' && isTrialEntry(found.key)) {
      runtime.dispatch({
        type: 'partSuspects.tried',
        atMs: now(),
        key: found.key,
      });
      return undefined;
    }
    metrics.partSuspected({ event: 'refused' });
    return `parts crash targets: ${found.block.parts.join(', ')}`;
  }

  function retryAfterMs(): number {
    const found = verdict();
    if (found === undefined) return 0;
    const leftMs = found.type === 'refuse' ? found.endMs - now() : Infinity;
    return Math.min(Math.max(leftMs, 0), MAX_RETRY_AFTER_MS);
  }

  function answerBegan(): void {
    hasBegun = true;
    if (!hasRecords(runtime.state().partSuspects)) return;
    runtime.dispatch({
      type: 'partSuspects.answered',
      atMs: now(),
      service,
      parts,
    });
  }

  function sendEnded({ target, sentAtMs }: EndedSend, end: SendEnd): void {
    if (hasBegun) return;
    if (end.type === 'broken' && parts.length > 0 && sentAtMs !== undefined) {
      context.targetDeaths.sendBroke({
        attemptId: call.attemptId,
        service,
        target,
        parts,
        sentAtMs,
        endedAtMs: now(),
      });
      return;
    }
    const isSuccess =
      end.type === 'answered' &&
      end.status >= MIN_SUCCESS_STATUS &&
      end.status < MIN_REDIRECT_STATUS;
    if (isSuccess) answerBegan();
  }

  return {
    refusal,
    isBlocked: () => verdict() !== undefined,
    retryAfterMs,
    answerBegan,
    sendEnded,
  };
}
