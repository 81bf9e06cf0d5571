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

/** Fields of every event. Times are readings of the entry's monotonic clock. */
export interface EventBase {
  readonly atMs: number;
  /**
   * Uniform in [0, 1), for jitter and tie-breaking. Reducers have no other
   * source of randomness.
   */
  readonly random: number;
}

/** Why a request was refused without having run. */
export type RefusalReason =
  /** A limit set in the table is exhausted. */
  | 'limited'
  /** The queue of the request's row is full. */
  | 'queueFull'
  /** The predicted finish misses the deadline. */
  | 'tooLate'
  /** The deadline passed before anything was sent. */
  | 'deadline'
  /** No target serves the model or service now. */
  | 'noTarget'
  /** Every target refused, or the retry budget is exhausted. */
  | 'targetsRefused'
  /** The request was in flight during several target crashes. */
  | 'suspect'
  /** The entry is leaving. */
  | 'leaving'
  /** The store is down and the call needs a claim. */
  | 'storeDown'
  /** The idempotency key was used before with a different body. */
  | 'keyReused'
  /**
   * The idempotency key, by its own timestamp, is older than claims are kept.
   */
  | 'keyExpired'
  /** The caller disconnected. */
  | 'callerGone';

/** How an attempt ended. */
export type AttemptEnd =
  { readonly type: 'done' } | { readonly type: 'cancelled' } | TargetError;

/** Result that is reported to the caller at the end of a request. */
export type RequestEnd =
  | { readonly type: 'answered' }
  | {
      readonly type: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number | undefined;
    }
  | { readonly type: 'timedOut' }
  | { readonly type: 'failed'; readonly reason: string }
  /** The outcome of a call that may not be repeated is unknown. */
  | { readonly type: 'inDoubt' };

/**
 * Events in the life cycle of a request, in their usual order.
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
      /** Set if KV memory was reserved on several engines before dispatch. */
      readonly reservationId: string | undefined;
    }
  | {
      readonly type: 'request.refused';
      readonly requestId: string;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number | undefined;
    }
  /** The last attempt gave no complete answer and another one is allowed. */
  | {
      readonly type: 'request.retryWanted';
      readonly requestId: string;
      readonly excludedTargetIds: readonly string[];
      /**
       * Whether it may only run on a target that runs no other isolated
       * request.
       */
      readonly isolated: boolean;
    }
  /** A call that may not be repeated needs a claim from the `once` slice. */
  | {
      readonly type: 'request.claimWanted';
      readonly request: RequestInfo;
      readonly targetId: string;
    }
  /** The claim is granted: the call may be sent now, and only once. */
  | { readonly type: 'request.claimGranted'; readonly requestId: string }
  /** Another claim holds the call's key; the call may have run. */
  | { readonly type: 'request.claimContended'; readonly requestId: string }
  /**
   * The call must not be sent; `answer` is the one stored under its key, if
   * any.
   */
  | {
      readonly type: 'request.claimRefused';
      readonly requestId: string;
      readonly ran: Ran;
      readonly end: RequestEnd;
      readonly answer: StoredAnswer | undefined;
    }
  /** The request was in flight when its target appears to have crashed. */
  | {
      readonly type: 'request.suspected';
      readonly requestId: string;
      readonly targetId: string;
      /** Whether the request waits for `retryAllowed`; false if it ends now. */
      readonly wantsRetry: boolean;
    }
  /**
   * A suspect request may run again, but not on targets that run other ones.
   */
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
   * No item arrived from the target for the silence threshold. Raised again
   * after each further threshold period without an item.
   */
  | {
      readonly type: 'attempt.silent';
      readonly requestId: string;
      readonly attemptId: string;
      readonly outputTokens: number;
    }
  /** Reply to a status query about a silent or disconnected attempt. */
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
      /**
       * Tokens sent to the caller by this attempt, before and after resumes.
       */
      readonly outputTokens: number;
      /** Whether any byte of the request left this process. */
      readonly sent: boolean;
      /** Answer of a plain service, if it must be stored for repeated calls. */
      readonly answer?: StoredAnswer | undefined;
    };

/** Events that are sent to every slice. */
export type SharedEvent = EventBase &
  (
    | RequestEvent
    | { readonly type: 'entry.started'; readonly self: EntryAddress }
    /** Regular clock tick, ten per second. */
    | { readonly type: 'clock.ticked' }
    /** A table took effect; `number` never decreases. */
    | {
        readonly type: 'table.installed';
        readonly number: number;
        readonly rows: readonly TableRow[];
        /** Models that the operators want to be served. */
        readonly models?: readonly WantedModel[];
      }
    /** The agreed view of live entries changed. */
    | {
        readonly type: 'members.changed';
        readonly live: readonly EntryAddress[];
        readonly leaving: readonly EntryAddress[];
        /**
         * Members that did not answer recently; neither live nor known to be
         * dead.
         */
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
    /** Nothing is left to do; the process may exit. */
    | { readonly type: 'leaving.finished' }
  );

/** Type prefixes of the shared events about requests and attempts. */
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
 * Returns whether an event is sent to every slice.
 *
 * @param event - Any event.
 * @returns True for a shared event.
 */
export function isSharedEvent(event: {
  readonly type: string;
}): event is SharedEvent {
  return (
    SHARED_EVENT_TYPES.has(event.type) ||
    SHARED_EVENT_PREFIXES.some((prefix) => event.type.startsWith(prefix))
  );
}
