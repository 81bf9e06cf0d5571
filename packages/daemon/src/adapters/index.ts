export * from './createEngineHttpPort/index.ts';
export * from './createPlatformHttpPort/index.ts';
export * from './createServiceHttpPort/index.ts';
