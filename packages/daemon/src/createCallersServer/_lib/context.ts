import type { EntryView } from '../../createEntryView/index.ts';
import type { Runtime } from '../../runtime/index.ts';
import type { Metrics } from '../../createMetrics/index.ts';
import type { OpenRequests } from '../../createOpenRequests/index.ts';

/** What the callers' routes need of the entry around them. */
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
  /** Names what keeps the entry from being ready; empty when ready. */
  readonly unreadyReasons: () => readonly string[];
  readonly newRequestId: () => string;
  readonly maxOpenRequests: number;
}
