/**
 * The time line of events: kept by each entry, read over all of them.
 *
 * @packageDocumentation
 */
export * from './createTimeline/index.ts';
export * from './readFleetTimeline/index.ts';
export * from './timelineWire/index.ts';
