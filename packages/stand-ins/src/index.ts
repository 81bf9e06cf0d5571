/**
 * Small fakes of the systems around an entry, for tests and trials.
 *
 * @packageDocumentation
 */
export * from './createEngineModel/index.ts';
export * from './createRandom/index.ts';
