export * from './routing/index.ts';
