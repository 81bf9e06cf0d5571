export * from './engine/index.ts';
export * from './platform/index.ts';
export * from './service/index.ts';
