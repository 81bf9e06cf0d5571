import type { Ran } from '@endivegate/contracts';

/** Event observed by a caller or a target; all times are on one clock. */
export type HistoryEvent =
  /** A caller sent a request to an entry. */
  | {
      readonly type: 'caller.sent';
      readonly atMs: number;
      /** Unique for each HTTP request. */
      readonly callId: string;
      /** Unique for each body; a resent request keeps it. */
      readonly bodyId: string;
      readonly workspace: string;
      readonly idempotencyKey: string | undefined;
      /** Time limit of the caller, from sending to the last byte. */
      readonly timeoutMs: number;
    }
  /** A caller received its final answer or a refusal. */
  | {
      readonly type: 'caller.ended';
      readonly atMs: number;
      readonly callId: string;
      /** Request id that the entry returned to the caller. */
      readonly requestId: string | undefined;
      readonly ran: Ran;
      readonly outcome:
        'answered' | 'refused' | 'timedOut' | 'failed' | 'inDoubt';
      /** Whole text of the answer when `outcome` is `answered`. */
      readonly answer: string | undefined;
    }
  /** The entry died or the caller disconnected; the caller got no result. */
  | {
      readonly type: 'caller.lost';
      readonly atMs: number;
      readonly callId: string;
    }
  /** A target started to run an attempt. */
  | {
      readonly type: 'target.started';
      readonly atMs: number;
      readonly targetId: string;
      readonly attemptId: string;
      readonly bodyId: string;
    }
  /** A target completed an attempt; `answer` is the whole answer text. */
  | {
      readonly type: 'target.finished';
      readonly atMs: number;
      readonly targetId: string;
      readonly attemptId: string;
      readonly bodyId: string;
      readonly answer: string;
    }
  /** A target died and lost all its running attempts and memory. */
  | {
      readonly type: 'target.crashed';
      readonly atMs: number;
      readonly targetId: string;
    }
  /** An entry died or is known to have died. */
  | {
      readonly type: 'entry.died';
      readonly atMs: number;
      readonly entryId: string;
    }
  /** Memory that an engine holds for requests and reservations. */
  | {
      readonly type: 'target.memory';
      readonly atMs: number;
      readonly targetId: string;
      readonly reservedTokens: number;
    };

/** A history event of one type. */
export type HistoryEventOf<Type extends HistoryEvent['type']> = Extract<
  HistoryEvent,
  { readonly type: Type }
>;

/** Rules that every history must satisfy. */
export const HISTORY_RULES = [
  /** A call with an idempotency key of a workspace runs at most once. */
  'once',
  /** Callers are told `no` only if the call never ran, `yes` only if it did. */
  'truthfulRan',
  /** An answer is complete and unchanged. */
  'wholeAnswer',
  /** A caller receives the answer to its own body. */
  'ownAnswer',
  /** Each call ends within the time limit of its caller. */
  'deadline',
  /** Engines hold no reserved memory some time after all activity ended. */
  'memoryReturned',
] as const;

/** Name of a rule that every history must satisfy. */
export type HistoryRule = (typeof HISTORY_RULES)[number];

/** A violation of a rule in a history. */
export interface HistoryViolation {
  readonly rule: HistoryRule;
  readonly atMs: number;
  /** Call, idempotency key or target that the violation is about. */
  readonly subject: string;
  readonly detail: string;
}

/** Options of `checkHistory`. */
export interface CheckHistoryOptions {
  /**
   * Lateness of an answer that is attributed to the recorder, in ms; default
   * 100.
   */
  readonly toleranceMs?: number;
  /**
   * Time after the last activity for engines to return memory, in ms; default
   * 10,000.
   */
  readonly memoryReturnMs?: number;
}

/** A history with the indexes that the rules share. */
export interface IndexedHistory {
  readonly sent: readonly HistoryEventOf<'caller.sent'>[];
  readonly ended: readonly HistoryEventOf<'caller.ended'>[];
  readonly endedByCall: ReadonlyMap<string, HistoryEventOf<'caller.ended'>>;
  readonly sentByCall: ReadonlyMap<string, HistoryEventOf<'caller.sent'>>;
  readonly lostCalls: ReadonlySet<string>;
  readonly starts: readonly HistoryEventOf<'target.started'>[];
  readonly startsByBody: ReadonlyMap<
    string,
    readonly HistoryEventOf<'target.started'>[]
  >;
  readonly startedRequests: ReadonlySet<string>;
  /** Complete answers of targets, by body. */
  readonly answersByBody: ReadonlyMap<string, ReadonlySet<string>>;
  readonly bodyByAnswer: ReadonlyMap<string, string>;
  readonly memory: readonly HistoryEventOf<'target.memory'>[];
  readonly lastActivityAtMs: number;
  readonly endAtMs: number;
}
