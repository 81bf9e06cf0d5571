/**
 * The timeline of events: stored by each entry, and read across all entries.
 *
 * @packageDocumentation
 */
export * from './createTimeline/index.ts';
export * from './readFleetTimeline/index.ts';
export * from './timelineWire/index.ts';
