import { z } from 'zod';

/** First fields of a row on a process of a target: the target's id, and the start time of
 * the process in Unix ms. */
export const processFields = [z.string(), z.number()] as const;

/** Rows on processes in one datagram. */
export const MAX_PROCESS_ROWS = 20;
