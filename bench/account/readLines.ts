import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { z } from 'zod';

/** A line of an entry's log. Other programs may have put text before it. */
const lineSchema = z.object({
  time: z.string(),
  event: z.string(),
  entry: z.string(),
  request: z.string().optional(),
  route: z.string().optional(),
  end: z.string().optional(),
  promptTokens: z.number().optional(),
  elapsedMs: z.number().optional(),
  slotWaitMs: z.number().optional(),
  sends: z.number().optional(),
});

/** See {@link lineSchema}. */
export type LogLine = z.infer<typeof lineSchema>;

/**
 * Reads the structured lines of a log file; others are skipped.
 *
 * @param path - Path of the file.
 * @returns The lines in the order of the file.
 */
export async function readLines(path: string): Promise<readonly LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({ input: createReadStream(path) })) {
    const line = parseLine(text);
    if (line !== undefined) lines.push(line);
  }
  return lines;
}

function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{"time"');
  if (start < 0) return undefined;
  try {
    return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    return undefined;
  }
}
