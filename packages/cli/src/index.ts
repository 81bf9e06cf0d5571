/**
 * The operators' command line.
 *
 * @packageDocumentation
 */
export {};
