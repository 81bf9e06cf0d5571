import type { EntryAddress, Target, TableRow } from '@endivegate/contracts';

/** Fields of every event. Times are those of the entry's monotonic clock. */
export interface EventBase {
  readonly atMs: number;
  /** Uniform in [0, 1), for jitter and ties; the reducer has no other. */
  readonly random: number;
}

/** Events that several slices of the state read. */
export type SharedEvent = EventBase &
  (
    | { readonly type: 'entry.started'; readonly self: EntryAddress }
    /** A regular pulse, ten a second. */
    | { readonly type: 'clock.ticked' }
    /** A table came into force; `number` never decreases. */
    | {
        readonly type: 'table.installed';
        readonly number: number;
        readonly rows: readonly TableRow[];
      }
    /** The agreed view of live entries changed. */
    | {
        readonly type: 'members.changed';
        readonly live: readonly EntryAddress[];
        readonly leaving: readonly EntryAddress[];
        readonly dead: readonly EntryAddress[];
      }
    /** The list of targets changed. */
    | {
        readonly type: 'targets.changed';
        readonly targets: readonly Target[];
      }
    /** The entry was told to stop. */
    | { readonly type: 'leaving.requested' }
  );

/** Types of the shared events. */
const SHARED_EVENT_TYPES: ReadonlySet<string> = new Set<SharedEvent['type']>([
  'entry.started',
  'clock.ticked',
  'table.installed',
  'members.changed',
  'targets.changed',
  'leaving.requested',
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
  return SHARED_EVENT_TYPES.has(event.type);
}
