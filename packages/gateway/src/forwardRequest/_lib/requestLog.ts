import type {
  Admission,
  NextStep,
  Obstacle,
  SendEnd,
  TakeoverObstacle,
} from '@endivegate/core/forwarding';
import type { EventFields } from '../../createEventLog/index.ts';
import type { SendPlan } from '../../planSend/index.ts';
import type { ForwardCall, ForwardContext, GracePeriod } from '../types.ts';
import type { ShutdownCheck } from './checkShutdown.ts';
import type { TimeLeft } from './timeLeft.ts';

/** What has become of a request so far. */
export interface RequestCounts {
  readonly sends: number;
  readonly unsent: number;
  readonly events: number;
  readonly mayHaveRun: boolean;
  readonly answerBegun: boolean;
}

/** A refusal before the first send, and its inputs. */
export interface NotAdmitted {
  readonly plan: SendPlan;
  readonly left: TimeLeft;
  readonly admission: Extract<Admission, { type: 'refuse' }>;
}

/** A silent target, and the one that takes over, if there is one. */
export interface Silence {
  readonly silent: SendPlan;
  readonly takeover: SendPlan | undefined;
  readonly obstacle: TakeoverObstacle | undefined;
}

/** An answer that has not ended. */
export interface OpenAnswer {
  /** What it rested on that the request was sent; undefined if it was sent before the
   * shutdown or not at all. */
  readonly check: ShutdownCheck | undefined;
  readonly openSends: number;
  readonly events: number;
  readonly lastEventAtMs: number | undefined;
  /** Bytes that the caller has not taken yet. */
  readonly unsentBytes: number;
}

/** Logs the decisions on one request. */
export interface RequestLog {
  readonly notAdmitted: (refusal: NotAdmitted) => void;
  readonly silent: (silence: Silence) => void;
  readonly next: (
    after: SendEnd,
    step: NextStep,
    counts: RequestCounts,
  ) => void;
  /** `obstacle` is the condition that applies to most targets of the service. */
  readonly givenUp: (
    reason: string,
    tried: ReadonlySet<string>,
    obstacle: Obstacle['obstacle'] | undefined,
  ) => void;
  /** Logs whether this entry sends a request while it shuts down, and on what grounds. */
  readonly checkedForShutdown: (check: ShutdownCheck) => void;
  /** Logs a request that this entry does not take, or does not finish, as it shuts down. */
  readonly endedByShutdown: (
    grace: GracePeriod | undefined,
    open: OpenAnswer,
  ) => void;
  /** Logs an error that was thrown while the request was handled. */
  readonly errorThrown: (error: unknown) => void;
  /** Logs and counts the end of the request for its caller. */
  readonly ended: (end: string, counts: RequestCounts) => void;
}

/** Creates the log of a request. */
export function createRequestLog(
  call: ForwardCall,
  { log, metrics, now }: Pick<ForwardContext, 'log' | 'metrics' | 'now'>,
): RequestLog {
  const { attemptId: request, route, service } = call;
  return {
    notAdmitted({ plan, left, admission }) {
      log.info('request.notAdmitted', {
        request,
        target: plan.target.id,
        firstEventMs: Math.round(plan.firstEventMs ?? 0),
        slotWaitMs: Math.round(plan.slotWaitMs),
        latencyBudgetMs: Math.round(left.latencyBudgetMs),
        retryAfterMs: Math.round(admission.retryAfterMs),
      });
    },
    silent({ silent, takeover, obstacle }) {
      log.info('send.silent', {
        request,
        target: silent.target.id,
        takenOverBy: takeover?.target.id,
        obstacle: takeover === undefined ? (obstacle ?? 'noTarget') : undefined,
      });
    },
    next(after, step, { sends, unsent, mayHaveRun, answerBegun }) {
      log.info('request.next', {
        request,
        after: after.type,
        step: step.type,
        sends,
        unsent,
        mayHaveRun,
        answerBegun,
      });
    },
    givenUp(reason, tried, obstacle) {
      log.warn('request.givenUp', {
        request,
        service: service.name,
        reason,
        tried: [...tried],
        obstacle,
      });
    },
    checkedForShutdown(check) {
      log.info('request.checkedForShutdown', {
        request,
        route: route.name,
        repeat: route.repeat,
        isTaken: check.isTaken,
        elapsedMs: Math.round(now() - call.arrivedAtMs),
        graceElapsedMs: Math.round(check.grace.elapsedMs),
        graceLeftMs: Math.round(check.grace.leftMs),
        ...checkFields(check),
      });
    },
    endedByShutdown(grace, { check, lastEventAtMs, ...open }) {
      const silenceMs =
        lastEventAtMs === undefined ? undefined : now() - lastEventAtMs;
      log.info('request.endedByShutdown', {
        request,
        route: route.name,
        elapsedMs: Math.round(now() - call.arrivedAtMs),
        graceElapsedMs: Math.round(grace?.elapsedMs ?? 0),
        graceLeftMs: Math.round(grace?.leftMs ?? 0),
        ...(check === undefined ? {} : checkFields(check)),
        ...open,
        silenceMs: rounded(silenceMs),
      });
    },
    errorThrown(error) {
      const reason = error instanceof Error ? error.stack : undefined;
      log.warn('unexpectedError', { request, reason: reason ?? String(error) });
    },
    ended(end, { sends, events, mayHaveRun }) {
      metrics.ended({ rule: route.repeat, end });
      log.info('request.ended', {
        request,
        route: route.name,
        end,
        elapsedMs: Math.round(now() - call.arrivedAtMs),
        sends,
        events,
        mayHaveRun,
      });
    },
  };
}

function checkFields(check: ShutdownCheck): EventFields {
  return {
    readMs: Math.round(check.readMs),
    boundMs: Math.round(check.boundMs),
    expectedMs: rounded(check.expectedMs),
    source: check.source,
    answers: check.answers,
    answersAgeMs: rounded(check.answersAgeMs),
  };
}

function rounded(valueMs: number | undefined): number | undefined {
  return valueMs === undefined ? undefined : Math.round(valueMs);
}
