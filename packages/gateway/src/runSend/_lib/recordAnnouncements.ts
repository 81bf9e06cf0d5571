import type { TargetProcess } from '@endivegate/core/forwarding';
import type { ForwardContext } from '../../forwardRequest/types.ts';
import type { TargetHead } from '../../httpDialect/index.ts';

/** A response head, and the process that sent it. */
export interface TargetAnnouncement {
  readonly target: TargetProcess;
  readonly head: TargetHead;
}

/**
 * Applies what a target says about itself in a response: that it is leaving, or
 * that it wants a pause.
 */
export function recordAnnouncements(
  { target, head }: TargetAnnouncement,
  context: Pick<ForwardContext, 'runtime' | 'log' | 'metrics' | 'now'>,
): void {
  const { runtime, log, metrics } = context;
  const { id, bornMs } = target;
  const atMs = context.now();
  if (head.isLeaving) {
    metrics.targetAnnounced({ announcement: 'leaving' });
    runtime.dispatch({ type: 'roster.leavingAnnounced', atMs, id, bornMs });
  }
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
