import type {
  MembersBody,
  OnceKey,
  OnceQuery,
  OnceRecord,
  OnceSettlement,
  OrdersBody,
  SuspectsBody,
  TableBody,
  TableStatusBody,
  TimelineBody,
  TimelineQuery,
} from '@endivegate/contracts';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type { TableAdmin } from '../../createTableAdmin/index.ts';

/** Error of an operator's call. */
export type AdminFailure =
  | { readonly type: 'storeDown'; readonly reason: string }
  | { readonly type: 'notFound'; readonly reason: string }
  /** The state of the addressed object does not allow the call. */
  | { readonly type: 'conflict'; readonly reason: string };

/** Functions of the entry that the operators' API exposes. */
export interface AdminPorts {
  readonly table: TableAdmin;
  /** Returns the table active in this entry. */
  readonly activeTable: () => TableBody;
  readonly tableStatus: () => TableStatusBody;
  readonly members: () => MembersBody;
  readonly once: {
    readonly list: (
      query: OnceQuery,
    ) => TaskEither<AdminFailure, readonly OnceRecord[]>;
    readonly show: (key: OnceKey) => TaskEither<AdminFailure, OnceRecord>;
    readonly settle: (
      settlement: OnceSettlement,
    ) => TaskEither<AdminFailure, OnceRecord>;
  };
  readonly suspects: {
    readonly list: () => SuspectsBody;
    readonly clear: (fingerprint: string) => TaskEither<AdminFailure, void>;
  };
  readonly orders: () => OrdersBody;
  readonly timeline: (
    query: TimelineQuery,
  ) => TaskEither<AdminFailure, TimelineBody>;
}
