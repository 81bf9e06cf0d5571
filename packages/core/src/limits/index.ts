/**
 * Limits over several entries: a floor for each home, the rest by short grants.
 *
 * @packageDocumentation
 */
export { FLOOR_PART, floorOf, grantableOf } from './_lib/amounts.ts';
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
  takeLimit,
  type LimitUse,
} from './_lib/use.ts';
