/** Death of a target process while it ran a request. */
export interface PartDeath {
  /** Identifies the send; two reports of one send have the same id. */
  readonly id: string;
  readonly service: string;
  /** The process, by `processKey`. */
  readonly process: string;
  /**
   * What may have caused it: the request itself, by {@link requestPart}, and its shared
   * parts, unless its answer had begun.
   */
  readonly parts: readonly string[];
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** An answer that began to a request with a part that was in a dying target. */
export interface PartSound {
  readonly service: string;
  readonly part: string;
  readonly atMs: number;
}

/** Requests of a service that contain all of these parts are not sent. */
export interface PartBlock {
  readonly service: string;
  /** In ascending order; several if they always came together. */
  readonly parts: readonly string[];
  /** Process whose death led to the block. A block of the same parts with another
   * cause is another one, so that one of them may be over. */
  readonly cause: string;
  /** Trials that ended with a death; selects the time until the next one. */
  readonly level: number;
  /** End of that death. */
  readonly sinceMs: number;
}

/** A death as entries of earlier builds report it. */
export interface CrashReport {
  /** Fingerprint of the request's path, caller and body. */
  readonly fingerprint: string;
  readonly targetId: string;
}

/** A death, and whether this entry observed it. */
export interface KnownDeath extends PartDeath {
  readonly isOwn: boolean;
  /** Undefined if another entry observed the death. */
  readonly crash?: CrashReport | undefined;
}

/** The last soundness of a part, and the last one to tell to peers. */
export interface KnownSound extends PartSound {
  /** Time at which this entry found the part sound after a death. */
  readonly ownAtMs: number | undefined;
}

/** A block, whether this entry established it, and its last trial here. */
export interface KnownBlock extends PartBlock {
  readonly isOwn: boolean;
  readonly triedAtMs: number | undefined;
}

/** An answer of a service that began while there were deaths on record. */
export interface BegunAnswer {
  readonly atMs: number;
  readonly parts: readonly string[];
}

/** Deaths of targets, and what speaks for and against parts of prompts. */
export interface PartSuspectsState {
  readonly deaths: ReadonlyMap<string, KnownDeath>;
  /** By {@link partKey}. */
  readonly sounds: ReadonlyMap<string, KnownSound>;
  /** Newest answers of this entry by service, oldest first. */
  readonly answers: ReadonlyMap<string, readonly BegunAnswer[]>;
  /** By {@link blockKey}; also those that are over, as peers may still tell them. */
  readonly blocks: ReadonlyMap<string, KnownBlock>;
}

/** What an entry tells its peers. */
export interface PartReport {
  readonly deaths: readonly PartDeath[];
  readonly sounds: readonly PartSound[];
  readonly blocks: readonly PartBlock[];
}

/** Events of the parts; times are from the monotonic clock. */
export type PartSuspectsEvent =
  /** A target died under a request of this entry. */
  | {
      readonly type: 'partSuspects.died';
      readonly atMs: number;
      readonly death: PartDeath;
      readonly crash?: CrashReport;
    }
  /** An answer to a request of this entry began, or is complete. */
  | {
      readonly type: 'partSuspects.answered';
      readonly atMs: number;
      readonly service: string;
      readonly parts: readonly string[];
      /** Parts that this answer clears; all by default. */
      readonly soundParts?: readonly string[];
    }
  | ({
      readonly type: 'partSuspects.reportReceived';
      readonly atMs: number;
    } & PartReport)
  /** This entry sends a request with blocked parts to learn whether they still
   * crash targets. */
  | {
      readonly type: 'partSuspects.tried';
      readonly atMs: number;
      /** Parts of the block, by {@link partsKey}. */
      readonly key: string;
    }
  | { readonly type: 'partSuspects.ticked'; readonly atMs: number };

/** Changes to log, and to tell peers at once. */
export type PartSuspectsEffect =
  /** This entry knows something that its peers have to learn now. */
  | { readonly type: 'partSuspects.reportDue' }
  | {
      readonly type: 'partSuspects.blocked';
      readonly block: PartBlock;
      readonly source: 'own' | 'peer';
      readonly holdMs: number;
    }
  | { readonly type: 'partSuspects.cleared'; readonly block: PartBlock };

/** Identifies a part of a service's prompts. */
export function partKey(service: string, part: string): string {
  return `${service}\n${part}`;
}

/** Identifies the parts of a block. */
export function partsKey(block: Pick<PartBlock, 'service' | 'parts'>): string {
  return partKey(block.service, block.parts.join('\n'));
}

/** Identifies a block. */
export function blockKey(
  block: Pick<PartBlock, 'service' | 'parts' | 'cause'>,
): string {
  return `${partsKey(block)}\n\n${block.cause}`;
}
