/**
 * Relays requests over gRPC from the entry that received them to a home entry
 * that serves them.
 *
 * @packageDocumentation
 */
export * from './registerRelay/index.ts';
export * from './relayRequest/index.ts';
export * from './serveLocally/index.ts';
export * from './serveRelay/index.ts';
