import { z } from 'zod';

/**
 * Whether a request ran on a target.
 *
 * - `no`: no byte reached a target, or the target refused the request before it
 *   started.
 * - `yes`: the target started the request.
 * - `unknown`: the request may have started, and the outcome is not known.
 */
export const ranSchema = z.enum(['no', 'yes', 'unknown']);

/** Whether a request ran on a target. */
export type Ran = z.infer<typeof ranSchema>;
