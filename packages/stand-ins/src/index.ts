/**
 * Simulated engines, services and platform for testing an entry.
 *
 * @packageDocumentation
 */
export * from './expectedAnswer/index.ts';
export * from './createEngineModel/index.ts';
export * from './createPlatformModel/index.ts';
export * from './createRandom/index.ts';
export * from './startEngineStandIn/index.ts';
export * from './startPlatformStandIn/index.ts';
export * from './startServiceStandIn/index.ts';
