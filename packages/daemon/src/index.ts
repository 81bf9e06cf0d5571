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
