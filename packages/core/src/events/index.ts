import type {
  AttemptReport,
  EntryAddress,
  Ran,
  StoredAnswer,
  TableRow,
  Target,
  TargetError,
  WantedModel,
} from '@endivegate/contracts';
import type { RequestInfo } from '../request/index.ts';

/** Fields of every event. Times are those of the entry's monotonic clock. */
export interface EventBase {
  readonly atMs: number;
  /** Uniform in [0, 1), for jitter and ties; the reducer has no other. */
  readonly random: number;
}

/** Why a request was refused without having run. */
export type RefusalReason =
  /** A limit of the table is used up. */
  | 'limited'
  /** The queue of the request's row is full. */
  | 'queueFull'
  /** The predicted finish misses the deadline. */
  | 'tooLate'
  /** The deadline passed before anything was sent. */
  | 'deadline'
  /** No target serves the model or service now. */
  | 'noTarget'
  /** Every target refused, or the retry budget is used up. */
  | 'targetsRefused'
  /** The request was in flight at repeated target crashes. */
  | 'suspect'
  /** The entry is leaving. */
  | 'leaving'
  /** The store is down and the call needs a claim. */
  | 'storeDown'
  /** The idempotency key was used with another body. */
  | 'keyReused'
  /** The idempotency key's own time is older than claims are kept. */
  | 'keyExpired'
  /** The caller went away. */
  | 'callerGone';

/** How an attempt ended. */
export type AttemptEnd =
  { readonly type: 'done' } | { readonly type: 'cancelled' } | TargetError;

/** What the caller is told at the end of a request. */
export type RequestEnd =
  | { readonly type: 'answered' }
  | {
      readonly type: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number | undefined;
    }
  | { readonly type: 'timedOut' }
  | { readonly type: 'failed'; readonly reason: string }
  /** A call that may not be repeated has an unsettled outcome. */
  | { readonly type: 'inDoubt' };

/**
 * Events in the life of a request, in their usual order.
 *
 * `received` (daemon) → `arrived` (suspects) → `dispatched` (routing) →
 * `attempt.started` (requests) → `attempt.*` (daemon) → `retryWanted` or
 * `ended` (requests). `refused` is raised by the slice that refuses. `ended`
 * comes exactly once for each received request, refused ones included.
 */
export type RequestEvent =
  | { readonly type: 'request.received'; readonly request: RequestInfo }
  | { readonly type: 'request.arrived'; readonly request: RequestInfo }
  | {
      readonly type: 'request.dispatched';
      readonly requestId: string;
      readonly targetId: string;
      /** Set when KV memory is reserved on several engines beforehand. */
      readonly reservationId: string | undefined;
    }
  | {
      readonly type: 'request.refused';
      readonly requestId: string;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number | undefined;
    }
  /** The last attempt did not answer and another one is allowed. */
  | {
      readonly type: 'request.retryWanted';
      readonly requestId: string;
      readonly excludedTargetIds: readonly string[];
      /** Whether no other suspect may run on the target at the same time. */
      readonly isolated: boolean;
    }
  /** A call that may not be repeated needs the right to be sent (once). */
  | {
      readonly type: 'request.claimWanted';
      readonly request: RequestInfo;
      readonly targetId: string;
    }
  /** The call may be sent, once and now. */
  | { readonly type: 'request.claimGranted'; readonly requestId: string }
  /** Another claim holds the call's key; the call may have run. */
  | { readonly type: 'request.claimContended'; readonly requestId: string }
  /** The call must not be sent; an answer is the one stored for its key. */
  | {
      readonly type: 'request.claimRefused';
      readonly requestId: string;
      readonly ran: Ran;
      readonly end: RequestEnd;
      readonly answer: StoredAnswer | undefined;
    }
  /** The request was in flight when its target crashed. */
  | {
      readonly type: 'request.suspected';
      readonly requestId: string;
      readonly targetId: string;
      /** Whether it waits for `retryAllowed`; false when it ends now. */
      readonly wantsRetry: boolean;
    }
  /** A suspect may run again, away from where other suspects run. */
  | {
      readonly type: 'request.retryAllowed';
      readonly requestId: string;
      readonly avoidedTargetIds: readonly string[];
    }
  | { readonly type: 'request.callerGone'; readonly requestId: string }
  | {
      readonly type: 'request.ended';
      readonly requestId: string;
      readonly ran: Ran;
      readonly end: RequestEnd;
    }
  | {
      readonly type: 'attempt.started';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
    }
  | {
      readonly type: 'attempt.firstToken';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
    }
  /**
   * No item came from the target for the silence threshold. Comes again after
   * each further threshold without an item.
   */
  | {
      readonly type: 'attempt.silent';
      readonly requestId: string;
      readonly attemptId: string;
      readonly outputTokens: number;
    }
  /** Reply to an ask about a silent attempt. */
  | {
      readonly type: 'attempt.reported';
      readonly requestId: string;
      readonly attemptId: string;
      readonly report: AttemptReport | TargetError;
    }
  | {
      readonly type: 'attempt.ended';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
      readonly end: AttemptEnd;
      /** Tokens handed on to the caller by this attempt and those it resumed. */
      readonly outputTokens: number;
      /** Whether any byte of the request left this process. */
      readonly sent: boolean;
      /** Answer of a plain service, when it is to be kept for repeats. */
      readonly answer?: StoredAnswer | undefined;
    };

/** Events that several slices of the state read. */
export type SharedEvent = EventBase &
  (
    | RequestEvent
    | { readonly type: 'entry.started'; readonly self: EntryAddress }
    /** A regular pulse, ten a second. */
    | { readonly type: 'clock.ticked' }
    /** A table came into force; `number` never decreases. */
    | {
        readonly type: 'table.installed';
        readonly number: number;
        readonly rows: readonly TableRow[];
        /** Models as the operators want them served. */
        readonly models?: readonly WantedModel[];
      }
    /** The agreed view of live entries changed. */
    | {
        readonly type: 'members.changed';
        readonly live: readonly EntryAddress[];
        readonly leaving: readonly EntryAddress[];
        /** Did not answer lately; neither live nor known dead. */
        readonly suspected?: readonly EntryAddress[];
        readonly dead: readonly EntryAddress[];
      }
    /** The list of targets changed. */
    | {
        readonly type: 'targets.changed';
        readonly targets: readonly Target[];
      }
    /** The entry was told to stop. */
    | { readonly type: 'leaving.requested' }
    /** Nothing is left to do before the process exits. */
    | { readonly type: 'leaving.finished' }
  );

/** Prefixes of the shared events that belong to a request or an attempt. */
const SHARED_EVENT_PREFIXES = ['request.', 'attempt.'];

/** Types of the other shared events. */
const SHARED_EVENT_TYPES: ReadonlySet<string> = new Set<SharedEvent['type']>([
  'entry.started',
  'clock.ticked',
  'table.installed',
  'members.changed',
  'targets.changed',
  'leaving.requested',
  'leaving.finished',
]);

/**
 * Tells whether an event is sent to every slice.
 *
 * @param event - Any event.
 * @returns Whether it is a shared event.
 */
export function isSharedEvent(event: {
  readonly type: string;
}): event is SharedEvent {
  return (
    SHARED_EVENT_TYPES.has(event.type) ||
    SHARED_EVENT_PREFIXES.some((prefix) => event.type.startsWith(prefix))
  );
}
