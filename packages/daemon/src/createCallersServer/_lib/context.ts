import type { EntryView } from '../../createEntryView/index.ts';
import type { Runtime } from '../../runtime/index.ts';
import type { Metrics } from '../../createMetrics/index.ts';
import type { OpenRequests } from '../../createOpenRequests/index.ts';

/** The parts of the entry that the callers' routes depend on. */
export interface CallersContext extends Pick<
  EntryView,
  | 'findWorkspace'
  | 'resolvePromptRow'
  | 'resolveCallRow'
  | 'models'
  | 'services'
  | 'entriesFor'
> {
  readonly runtime: Runtime;
  readonly openRequests: OpenRequests;
  readonly metrics: Metrics;
  /** Returns why the entry is not ready; empty when it is ready. */
  readonly unreadyReasons: () => readonly string[];
  readonly newRequestId: () => string;
  readonly maxOpenRequests: number;
}
