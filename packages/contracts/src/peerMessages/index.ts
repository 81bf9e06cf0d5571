export * from './instances/index.ts';
export * from './limits/index.ts';
export * from './routing/index.ts';
