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

/** Why an operator's call had no result. */
export type AdminFailure =
  | { readonly type: 'storeDown'; readonly reason: string }
  | { readonly type: 'notFound'; readonly reason: string }
  /** The state of the named thing does not allow the call. */
  | { readonly type: 'conflict'; readonly reason: string };

/** What operators see and do, as functions of the entry. */
export interface AdminPorts {
  readonly table: TableAdmin;
  /** The table in force in this entry. */
  readonly tableInForce: () => TableBody;
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
