import { z } from 'zod';

const rate = z.number().min(0).max(1);

/** Faults of a platform stand-in; `PUT /faults` changes only the fields it gets. */
export const platformFaultsSchema = z.strictObject({
  /** Whether connections are refused. */
  isDown: z.boolean(),
  /** Delay of every call before it takes effect. */
  delayMs: z.number().nonnegative(),
  /** Fraction of writes whose reply is lost after they took effect. */
  lostReplyRate: rate,
  /** Fraction of calls that are lost before they take effect. */
  lostCallRate: rate,
});

/** Faults of a platform stand-in. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** A platform without faults. */
export const NO_PLATFORM_FAULTS: PlatformFaults = {
  isDown: false,
  delayMs: 0,
  lostReplyRate: 0,
  lostCallRate: 0,
};
