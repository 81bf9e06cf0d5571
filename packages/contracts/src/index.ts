/**
 * Schemas and types of all data exchanged between processes.
 *
 * @packageDocumentation
 */
export * from './addresses/index.ts';
export * from './adminBodies/index.ts';
export * from './formatFindings/index.ts';
export * from './httpBodies/index.ts';
export * from './claim/index.ts';
export * from './lengthClass/index.ts';
export * from './parseJsonc/index.ts';
export * from './peerMessages/index.ts';
export * from './ports/index.ts';
export * from './ran/index.ts';
export * from './settings/index.ts';
export * from './table/index.ts';
export * from './suspect/index.ts';
export * from './tableRow/index.ts';
export * from './wire/index.ts';
