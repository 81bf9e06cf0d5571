/** Decision logic of the forwarding gateway: pure functions and one reducer. */
export * from './collectBytes/index.ts';
export * from './crashSuspects/index.ts';
export * from './decideAdmission/index.ts';
export * from './decideNext/index.ts';
export * from './engineCell/index.ts';
export * from './engineLoad/index.ts';
export * from './engineTimes/index.ts';
export * from './gatewayReduce/index.ts';
export * from './peerList/index.ts';
export * from './peerTimes/index.ts';
export * from './pickTarget/index.ts';
export * from './planPrompt/index.ts';
export * from './retryBudget/index.ts';
export * from './routeTable/index.ts';
export * from './sampleEntries/index.ts';
export * from './storeWatchers/index.ts';
export * from './targetRoster/index.ts';
