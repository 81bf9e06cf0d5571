import type { LengthClass } from '@endivegate/contracts';

/** A request as the decisions see it: no body, no connection. */
export interface RequestInfo {
  readonly requestId: string;
  readonly workspace: string;
  /** Model of a prompt, or name of a plain service. */
  readonly service: string;
  /** Request kind as the table names it. */
  readonly kind: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly lengthClass: LengthClass;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly priority: number;
  /** Hash of workspace, service and body; equal for a resent request. */
  readonly fingerprint: string;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  readonly prefixHashes: readonly string[];
  readonly idempotencyKey: string | undefined;
  /** Whether it may be sent again after an attempt of unknown outcome. */
  readonly repeatable: boolean;
  /** Whether tokens go to the caller as they come; default true. */
  readonly streamed?: boolean;
}
