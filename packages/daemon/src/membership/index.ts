/**
 * The membership protocol over UDP, with its full reads over gRPC.
 *
 * @packageDocumentation
 */
export * from './encodePacket/index.ts';
export * from './knownMembers/index.ts';
export * from './startMembership/index.ts';
export * from './toPeerUpdate/index.ts';
