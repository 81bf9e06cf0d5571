import type { EntryAddress } from '@endivegate/contracts';

/** What the main process tells a worker. */
export type ToWorker =
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

/** Totals of a worker's members since the start. */
export interface WorkerTotals {
  readonly members: number;
  readonly packets: number;
  readonly bytes: number;
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

/** First sightings of a member, as `[subject, wall-clock ms]`. */
export interface MemberSightings {
  readonly entryId: string;
  readonly suspect: readonly (readonly [string, number])[];
  readonly dead: readonly (readonly [string, number])[];
  readonly leaving: readonly (readonly [string, number])[];
  readonly table: readonly (readonly [string, number])[];
}

/** What a worker answers. */
export type FromWorker =
  | { readonly type: 'started'; readonly addresses: readonly EntryAddress[] }
  | {
      readonly type: 'measured';
      readonly totals: WorkerTotals;
      readonly sightings: readonly MemberSightings[];
    };
