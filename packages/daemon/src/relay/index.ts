/**
 * Requests that landed on an entry which does not serve them, over gRPC.
 *
 * @packageDocumentation
 */
export * from './registerRelay/index.ts';
export * from './relayRequest/index.ts';
export * from './serveLocally/index.ts';
export * from './serveRelay/index.ts';
