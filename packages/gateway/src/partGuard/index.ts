import {
  findBlockedParts,
  hasRecords,
  isRequestPart,
  type PartVerdict,
  ranksFirst,
  reachingPeers,
  requestPart,
  type SendEnd,
} from '@endivegate/core/forwarding';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { SendDestination } from '../planSend/index.ts';
import { fingerprintOf } from '../forwardRequest/_lib/fingerprintOf.ts';
import type { ForwardCall, ForwardContext } from '../forwardRequest/types.ts';
import { MAX_SHARED_PARTS } from '../httpDialect/index.ts';
import { reportedService } from './_lib/reportedService.ts';

/** Keeps requests that crash targets, or have parts that do, from being sent. */
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
  call: Pick<
    ForwardCall,
    'attemptId' | 'service' | 'caller' | 'path' | 'workspace' | 'body'
  >,
  context: PartGuardContext,
): PartGuard {
  const { runtime, metrics, now } = context;
  const { sharedParts } = call.caller;
  const service = reportedService(call.service.name);
  const fingerprint = fingerprintOf(call);
  let hasBegun = false;

  function ownPart(): string {
    return requestPart(fingerprint());
  }

  /** The request and its shared parts, as many as a report to peers may have. */
  function allParts(): readonly string[] {
    return [ownPart(), ...sharedParts.slice(0, MAX_SHARED_PARTS - 1)];
  }

  function verdict(): PartVerdict | undefined {
    const { partSuspects } = runtime.state();
    if (partSuspects.blocks.size === 0) return undefined;
    const parts = allParts();
    return findBlockedParts(partSuspects, { service, parts, nowMs: now() });
  }

  /** Whether this entry tries the parts again, chosen alike by all entries. */
  function isTrialEntry(key: string): boolean {
    const state = runtime.state();
    if (state.targetReach.phase === 'cutOff') return false;
    const peers = reachingPeers(state.peers, now());
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
    const parts = found.block.parts.filter((part) => !isRequestPart(part));
    return parts.length < found.block.parts.length
      ? 'the request crashed several targets'
      : `parts crash targets: ${parts.join(', ')}`;
  }

  function retryAfterMs(): number {
    const found = verdict();
    if (found === undefined) return 0;
    const leftMs = found.type === 'refuse' ? found.endMs - now() : Infinity;
    return Math.min(Math.max(leftMs, 0), MAX_RETRY_AFTER_MS);
  }

  function answerBegan(): void {
    hasBegun = true;
    recordSound(sharedParts);
  }

  function recordSound(soundParts: readonly string[]): void {
    if (!hasRecords(runtime.state().partSuspects)) return;
    runtime.dispatch({
      type: 'partSuspects.answered',
      atMs: now(),
      service,
      parts: allParts(),
      soundParts,
    });
  }

  function sendEnded({ target, sentAtMs }: EndedSend, end: SendEnd): void {
    // A target that sends too much, or what is no answer, is alive. One that fell silent
    // may have lost power, whatever it ran.
    const isAborted =
      end.type === 'broken' &&
      (end.oversized !== undefined ||
        end.isMalformed === true ||
        end.isTargetLost === true);
    if (isAborted) return;
    if (end.type === 'broken' && sentAtMs !== undefined) {
      context.targetDeaths.sendBroke({
        attemptId: call.attemptId,
        service,
        target,
        parts: hasBegun ? [ownPart()] : allParts(),
        fingerprint: fingerprint(),
        sentAtMs,
        endedAtMs: now(),
      });
      return;
    }
    if (end.type !== 'answered') return;
    const isSuccess =
      end.status >= MIN_SUCCESS_STATUS && end.status < MIN_REDIRECT_STATUS;
    if (isSuccess && !hasBegun) answerBegan();
    recordSound([ownPart()]);
  }

  return {
    refusal,
    isBlocked: () => verdict() !== undefined,
    retryAfterMs,
    answerBegan,
    sendEnded,
  };
}
