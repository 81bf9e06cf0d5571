import type { LengthClass } from '@endivegate/contracts';

/** Data of a request that the slices use; without its body and connection. */
export interface RequestInfo {
  readonly requestId: string;
  readonly workspace: string;
  /** Model of a prompt, or name of a plain service. */
  readonly service: string;
  /** Request kind, as used in table rows. */
  readonly kind: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly lengthClass: LengthClass;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly priority: number;
  /**
   * Hash of workspace, service and body; a repeated request has the same one.
   */
  readonly fingerprint: string;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  readonly prefixHashes: readonly string[];
  readonly idempotencyKey: string | undefined;
  /** Whether it may be sent again after an attempt with unknown outcome. */
  readonly repeatable: boolean;
  /** Whether tokens are streamed to the caller as they arrive; default true. */
  readonly streamed?: boolean;
}
