/**
 * Every decision of an entry as pure functions, and the reducer over all events.
 *
 * @packageDocumentation
 */
export * from './bucketMap/index.ts';
export * from './chainSteps/index.ts';
export * from './checkHistory/index.ts';
export * from './clock/index.ts';
export * from './compareTimestamps/index.ts';
export * from './costModel/index.ts';
export * from './countHomes/index.ts';
export * from './createReduce/index.ts';
export * from './decideNewRequest/index.ts';
export * from './describeEvent/index.ts';
export * from './enginePriorityOf/index.ts';
export * from './events/index.ts';
export * from './findWorkspace/index.ts';
export * from './hybridClock/index.ts';
export * from './indexRows/index.ts';
export * from './once/index.ts';
export * from './joinTable/index.ts';
export * from './leaving/index.ts';
export * from './matchTimeline/index.ts';
export * from './membership/index.ts';
export * from './mergeHybridClock/index.ts';
export * from './mergeTimelines/index.ts';
export * from './orderHomes/index.ts';
export * from './pickHomes/index.ts';
export * from './pickTableSources/index.ts';
export * from './pickTableWatchers/index.ts';
export * from './planLanes/index.ts';
export * from './planReservation/index.ts';
export * from './reduce/index.ts';
export * from './request/index.ts';
export * from './requests/index.ts';
export * from './resolveRow/index.ts';
export * from './retryDelay/index.ts';
export * from './routing/index.ts';
export * from './scoreRendezvous/index.ts';
export * from './slice/index.ts';
export * from './splitTable/index.ts';
export * from './step/index.ts';
export * from './suspects/index.ts';
export * from './table/index.ts';
export * from './tableCsvColumns/index.ts';
export * from './tableRecords/index.ts';
export * from './applyTableChanges/index.ts';
export * from './diffTables/index.ts';
export * from './exportTableCsv/index.ts';
export * from './importTableCsv/index.ts';
export * from './mergeTables/index.ts';
export * from './planTableCollection/index.ts';
export * from './pruneTableHistory/index.ts';
export * from './validateTable/index.ts';
export * from './targets/index.ts';
export * from './tickHybridClock/index.ts';
export * from './parseTableCell/index.ts';
