/** A request that waits for capacity, or asks for it. */
export interface QueuedRequest {
  readonly id: string;
  /** Workspace whose share it uses; empty for callers without a key. */
  readonly workspace: string;
  /** Priority of its route or key; 0 is the most urgent. */
  readonly priority: number;
  /** Value of serving it on time; see `valueOfPrompt`. */
  readonly value: number;
  /** Whether its prompt belongs in the short lane. */
  readonly isShort: boolean;
  /** Tokens that it occupies at all targets together. */
  readonly memoryTokens: number;
  readonly prefillMs: number;
  /** Bytes of its body, which the entry holds while it waits. */
  readonly bodyBytes: number;
  readonly queuedAtMs: number;
  /** Last time at which a start is predicted to meet the latency objective. */
  readonly latestOnTimeStartMs: number;
  /** Time from which a start is no longer worth its capacity. */
  readonly expiresAtMs: number;
}

/** Requests and memory that are served before a request. */
export interface QueueAhead {
  readonly requests: number;
  readonly memoryTokens: number;
}

/** Capacity of the targets, less what all entries have placed there. */
export interface QueueCapacity {
  readonly totalMemoryTokens: number;
  readonly freeMemoryTokens: number;
  /** Memory that short prompts hold. */
  readonly shortMemoryTokens: number;
  /** Whether the targets have room for a request now. */
  readonly fits: (request: QueuedRequest) => boolean;
  /** Time at which there is room for a request after those ahead of it; Infinity
   * when no target can hold it. */
  readonly expectedAtMs: (request: QueuedRequest, ahead: QueueAhead) => number;
}

/** Requests that wait, and the service that workspaces have received. */
export interface AdmissionQueueState {
  readonly waiting: readonly QueuedRequest[];
  /** Virtual time at which the last start of a workspace is paid for. */
  readonly paidUntilByWorkspace: ReadonlyMap<string, number>;
  /** Virtual time: the start tag of the request that started last. */
  readonly virtualMs: number;
}

/** Negative if `a` starts before `b`. */
export type CompareQueued = (
  a: QueuedRequest,
  b: QueuedRequest,
  view: {
    readonly nowMs: number;
    readonly state: Omit<AdmissionQueueState, 'waiting'>;
  },
) => number;

/** How requests compete for capacity. */
export interface QueuePolicy {
  readonly compare: CompareQueued;
  /** What becomes of a request for which there is no room. */
  readonly whenFull: 'start' | 'wait' | 'refuse';
  /** Whether a request may start before one that waits for more capacity. */
  readonly overtakes: boolean;
  /** Fraction of all memory that may be kept free for the first long prompt. */
  readonly reservedShare: number;
  /** Fraction of all memory that short prompts may hold without regard to what is
   * kept free for a long prompt. */
  readonly shortLaneShare: number;
  readonly maxRequests: number;
  readonly maxBytes: number;
}

/** Why a request is refused. */
export type QueueRefusalReason =
  | 'expired'
  /** Its capacity is predicted to come too late. */
  | 'tooLate'
  /** The queue is full of requests that come before it. */
  | 'queueFull'
  /** The policy does not let requests wait. */
  | 'noRoom';

/** A request that leaves the queue. */
export type QueueStep =
  | { readonly type: 'start'; readonly request: QueuedRequest }
  | {
      readonly type: 'refuse';
      readonly request: QueuedRequest;
      readonly reason: QueueRefusalReason;
      /** When there is expected to be room for it. */
      readonly expectedAtMs: number;
    };
