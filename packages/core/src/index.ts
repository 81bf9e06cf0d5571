/**
 * Every decision of an entry as pure functions, and the reducer over all events.
 *
 * @packageDocumentation
 */
export * from './events/index.ts';
export * from './reduce/index.ts';
export * from './request/index.ts';
export * from './step/index.ts';
