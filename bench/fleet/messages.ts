import type { EntryAddress } from '@endivegate/contracts';

/** Command from the main process to a worker. */
export type WorkerCommand =
  | {
      readonly type: 'start';
      readonly indexes: readonly number[];
      readonly dataCentres: number;
    }
  | {
      readonly type: 'list';
      readonly entries: readonly (EntryAddress & {
        readonly leaving: boolean;
      })[];
    }
  | { readonly type: 'measure' }
  | {
      readonly type: 'install';
      readonly entryId: string;
      readonly number: number;
    }
  | { readonly type: 'leave'; readonly entryId: string }
  | { readonly type: 'kill'; readonly entryIds: readonly string[] };

/** Totals over a worker's members since its start. */
export interface WorkerTotals {
  readonly members: number;
  readonly packets: number;
  readonly bytes: number;
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

/**
 * When a member first learnt of each state, as `[subject, Unix time in ms]`.
 */
export interface MemberSightings {
  readonly entryId: string;
  readonly suspect: readonly (readonly [string, number])[];
  readonly dead: readonly (readonly [string, number])[];
  readonly leaving: readonly (readonly [string, number])[];
  readonly table: readonly (readonly [string, number])[];
}

/** Reply from a worker to the main process. */
export type WorkerReply =
  | { readonly type: 'started'; readonly addresses: readonly EntryAddress[] }
  | {
      readonly type: 'measured';
      readonly totals: WorkerTotals;
      readonly sightings: readonly MemberSightings[];
    };
