export * from './limits/index.ts';
export * from './routing/index.ts';
