/**
 * Distributed limits: each home entry of a workspace has a fixed floor, and a
 * coordinator divides the rest by grants of a short duration.
 *
 * @packageDocumentation
 */
export { FLOOR_SHARE, floorOf, grantableOf } from './_lib/amounts.ts';
export {
  GRANT_MS,
  grantShare,
  type CoordinatedLimit,
  type LimitClaim,
  type LimitReport,
} from './_lib/coordinate.ts';
export {
  acceptGrant,
  allowanceOf,
  isReportDue,
  newLimitUse,
  noteDemand,
  releaseLimit,
  reportLimit,
  REPORT_MS,
  acquireLimit,
  type LimitUse,
} from './_lib/use.ts';
