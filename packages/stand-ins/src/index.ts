/**
 * Small fakes of the systems around an entry, for tests and trials.
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
