/**
 * Calls between the entries of a fleet, over gRPC.
 *
 * @packageDocumentation
 */
export * from './createPeerClient/index.ts';
export * from './createPeerCredentials/index.ts';
export * from './peerError.ts';
export * from './startPeerServer/index.ts';
