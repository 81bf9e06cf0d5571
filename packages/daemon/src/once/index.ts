export * from './claimAdmin/index.ts';
export * from './createOnceHandler/index.ts';
