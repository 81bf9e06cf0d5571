/**
 * The daemon: adapters that turn sockets and timers into events and run effects.
 *
 * @packageDocumentation
 */
export * from './adapters/index.ts';
export * from './seedTable/index.ts';
