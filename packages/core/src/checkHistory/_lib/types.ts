import type { Ran } from '@endivegate/contracts';

/** Something a caller or a target saw, on one clock over all recorders. */
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
      /** Time the caller gave, from sending to the last byte. */
      readonly timeoutMs: number;
    }
  /** A caller got its final answer, a refusal included. */
  | {
      readonly type: 'caller.ended';
      readonly atMs: number;
      readonly callId: string;
      /** Request id as told to the caller. */
      readonly requestId: string | undefined;
      readonly ran: Ran;
      readonly outcome:
        'answered' | 'refused' | 'timedOut' | 'failed' | 'inDoubt';
      /** Whole text of the answer when `outcome` is `answered`. */
      readonly answer: string | undefined;
    }
  /** The entry died or the caller went away; nothing was told. */
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
  /** A target ran an attempt to its end; `answer` is its whole text. */
  | {
      readonly type: 'target.finished';
      readonly atMs: number;
      readonly targetId: string;
      readonly attemptId: string;
      readonly bodyId: string;
      readonly answer: string;
    }
  /** A target died; what it ran and held is gone. */
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

/** Rules that every history must keep. */
export const HISTORY_RULES = [
  /** An idempotency key of a workspace is run at most once. */
  'once',
  /** `no` is told only of what never ran, `yes` only of what did. */
  'truthfulRan',
  /** An answer is whole and unchanged. */
  'wholeAnswer',
  /** An answer is the one to the caller's own body. */
  'ownAnswer',
  /** Each call ends within the time its caller gave. */
  'deadline',
  /** Engines hold no memory some time after everything ended. */
  'memoryReturned',
] as const;

/** Name of a rule that every history must keep. */
export type HistoryRule = (typeof HISTORY_RULES)[number];

/** A place in a history where a rule is broken. */
export interface HistoryViolation {
  readonly rule: HistoryRule;
  readonly atMs: number;
  /** Call, idempotency key or target that the violation is about. */
  readonly subject: string;
  readonly detail: string;
}

/** Options of `checkHistory`. */
export interface CheckHistoryOptions {
  /** Lateness of an answer that is put down to the recorder; default 100. */
  readonly toleranceMs?: number;
  /** Time after the last end or death to return memory; default 10,000. */
  readonly memoryReturnMs?: number;
}

/** A history with the look-ups that the rules share. */
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
  /** Whole answers that targets gave to a body. */
  readonly answersByBody: ReadonlyMap<string, ReadonlySet<string>>;
  readonly bodyByAnswer: ReadonlyMap<string, string>;
  readonly memory: readonly HistoryEventOf<'target.memory'>[];
  readonly lastActivityAtMs: number;
  readonly endAtMs: number;
}
