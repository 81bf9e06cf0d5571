/**
 * The operators' command line.
 *
 * @packageDocumentation
 */
export * from './createAdminClient/index.ts';
export * from './exitCodes.ts';
export * from './runCommandLine/index.ts';
