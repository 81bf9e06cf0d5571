/**
 * The forwarding gateway: the I/O around the decisions of `core/forwarding`.
 */
export * from './createConnectionLimit/index.ts';
export * from './createEventLog/index.ts';
export * from './createGatewayMetrics/index.ts';
export * from './gatewayRuntime/index.ts';
export * from './guardServer/index.ts';
export * from './httpDialect/index.ts';
export * from './limitFraming/index.ts';
export * from './orderPort/index.ts';
export * from './startGateway/index.ts';
export * from './announceEntry/index.ts';
export * from './followPrefix/index.ts';
export * from './shareStore/index.ts';
export * from './storePort/index.ts';
export * from './targetLoss/index.ts';
export * from './watchResponseEnd/index.ts';
