export * from './createSuspectsHandler/index.ts';
export * from './createSuspectsPorts/index.ts';
export * from './suspectAdmin/index.ts';
