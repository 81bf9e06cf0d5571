/**
 * The membership protocol over UDP; full member lists are read over gRPC.
 *
 * @packageDocumentation
 */
export * from './encodePacket/index.ts';
export * from './listKnownMembers/index.ts';
export * from './startMembership/index.ts';
export * from './toWireUpdate/index.ts';
