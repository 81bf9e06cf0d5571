import type {
  EffectiveRow,
  EntriesBody,
  TableRowKey,
} from '@endivegate/contracts';
import type { Runtime } from '../../runtime/index.ts';
import type { Metrics } from '../../createMetrics/index.ts';
import type { OpenRequests } from '../../openRequests/index.ts';

/** What the callers' routes need of the entry around them. */
export interface CallersContext {
  readonly runtime: Runtime;
  readonly openRequests: OpenRequests;
  readonly metrics: Metrics;
  /** Returns the workspace that a bearer token belongs to. */
  readonly findWorkspace: (token: string) => string | undefined;
  /** Returns the cells that apply to a prompt. */
  readonly resolvePromptRow: (key: TableRowKey) => EffectiveRow;
  /** Returns the cells that apply to a call of a plain service. */
  readonly resolveCallRow: (key: TableRowKey) => EffectiveRow;
  readonly models: () => readonly string[];
  readonly services: () => readonly string[];
  readonly entriesFor: (
    workspace: string,
    dataCentre: string | undefined,
  ) => EntriesBody;
  /** Names what keeps the entry from being ready; empty when ready. */
  readonly unreadyReasons: () => readonly string[];
  readonly newRequestId: () => string;
  readonly maxOpenRequests: number;
}
