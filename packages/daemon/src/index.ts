/**
 * The daemon: adapters that turn sockets and timers into events and run effects.
 *
 * @packageDocumentation
 */
export * from './adapters/index.ts';
export * from './membership/index.ts';
export * from './peers/index.ts';
export * from './relay/index.ts';
export * from './runtime/index.ts';
export * from './timeline/index.ts';
export * from './seedTable/index.ts';
export * from './table/changeTable/index.ts';
export * from './table/editTable/index.ts';
export * from './table/readTable/index.ts';
export * from './table/replaceTable/index.ts';
