import type { TargetProcess } from '@endivegate/core/forwarding';
import type { ForwardContext } from '../../forwardRequest/types.ts';
import type { TargetHead } from '../../httpDialect/index.ts';

/** A response head, and the process that sent it. */
export interface TargetAnnouncement {
  readonly target: TargetProcess;
  readonly head: TargetHead;
  /** When the request was sent. */
  readonly sentAtMs: number;
}

/**
 * Applies what a target says about itself in a response: that it is leaving, that
 * it wants a pause, how many requests it takes, or that it is cold.
 */
export function recordAnnouncements(
  { target, head, sentAtMs }: TargetAnnouncement,
  context: Pick<ForwardContext, 'runtime' | 'log' | 'metrics' | 'now'>,
): void {
  const { runtime, log, metrics } = context;
  const { id, bornMs } = target;
  const atMs = context.now();
  if (head.isLeaving) {
    metrics.targetAnnounced({ announcement: 'leaving' });
    runtime.dispatch({ type: 'roster.leavingAnnounced', atMs, id, bornMs });
  }
  recordLimit({ target, head, sentAtMs }, context);
  recordWarmUp({ target, head, sentAtMs }, context);
  switch (head.pause.type) {
    case 'none':
      return;
    case 'requested': {
      const { pauseMs } = head.pause;
      metrics.targetAnnounced({ announcement: 'pause' });
      runtime.dispatch({
        type: 'roster.pauseRequested',
        atMs,
        id,
        bornMs,
        pauseMs,
      });
      return;
    }
    case 'unreadable':
      log.warn('target.pauseUnreadable', { target: id, text: head.pause.text });
  }
}

/**
 * Records the limit that a target names. Only a response that the target signed
 * ends a limit, as others may not come from the program that names it.
 */
function recordLimit(
  { target, head, sentAtMs }: TargetAnnouncement,
  context: Pick<ForwardContext, 'runtime' | 'log' | 'metrics' | 'now'>,
): void {
  const { runtime, log, metrics } = context;
  const { id, bornMs } = target;
  const { limit } = head;
  if (limit.type === 'unreadable') {
    log.warn('target.limitUnreadable', { target: id, text: limit.text });
    return;
  }
  const isNamed = limit.type === 'named';
  if (isNamed) metrics.targetAnnounced({ announcement: 'limit' });
  else if (!head.isSigned || !runtime.state().targetLimits.has(id)) return;
  runtime.dispatch({
    type: 'targetLimits.responded',
    report: {
      id,
      bornMs,
      requestsPerS: isNamed ? limit.requestsPerS : undefined,
      atMs: context.now(),
    },
    sentAtMs,
  });
}

/**
 * Records how long a target says that it stays cold. Only a response that the target
 * signed says that it is warm.
 */
function recordWarmUp(
  { target, head, sentAtMs }: TargetAnnouncement,
  context: Pick<ForwardContext, 'runtime' | 'log' | 'metrics' | 'now'>,
): void {
  const { runtime, log, metrics } = context;
  const { id, bornMs } = target;
  const { warmUp } = head;
  if (warmUp.type === 'none') return;
  if (warmUp.type === 'unreadable') {
    log.warn('target.warmUpUnreadable', { target: id, text: warmUp.text });
    return;
  }
  const { leftMs } = warmUp;
  if (leftMs > 0) metrics.targetAnnounced({ announcement: 'warmUp' });
  else if (!head.isSigned) return;
  runtime.dispatch({
    type: 'coldTargets.responded',
    report: { id, bornMs, leftMs, atMs: context.now() },
    sentAtMs,
  });
}
