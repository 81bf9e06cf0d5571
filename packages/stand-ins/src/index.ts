/**
 * Small fakes of the systems around an entry, for tests and trials.
 *
 * @packageDocumentation
 */
export {};
