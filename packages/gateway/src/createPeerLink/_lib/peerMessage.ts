import { z } from 'zod';
import type {
  LoadByTarget,
  PeerSelf,
  TargetLoad,
} from '@endivegate/core/forwarding';

/** What an entry tells its peers. */
export interface PeerMessage {
  readonly self: PeerSelf;
  readonly loads: LoadByTarget;
  /** Targets that it knows to be draining. */
  readonly leavingIds: readonly string[];
  readonly crashes: readonly {
    readonly fingerprint: string;
    readonly targetId: string;
  }[];
  /** Addresses of some other entries. */
  readonly addresses: readonly string[];
}

/** Rows are arrays, since they make up most of a datagram. */
const loadRowSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
]);

const messageSchema = z.tuple([
  z.object({
    name: z.string(),
    peerAddress: z.string(),
    callerAddress: z.string(),
    dataCentre: z.string(),
    startedAtUnixMs: z.number(),
    isReady: z.boolean(),
    isLeaving: z.boolean(),
    configVersion: z.number(),
  }),
  z.array(loadRowSchema),
  z.array(z.string()),
  z.array(z.tuple([z.string(), z.string()])),
  z.array(z.string()),
]);

/** Stands for a target without any gap target, since JSON has no infinity. */
const NO_GAP = -1;

/**
 * Encodes a message to peers.
 *
 * @param message - The message.
 * @returns Bytes of one datagram.
 */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const rows = [...message.loads].map(([id, load]) => [
    id,
    load.requests,
    Math.round(load.readMs),
    round2(load.readersValue),
    load.writers,
    round2(load.writersValue),
    Math.round(load.contextTokens),
    Math.round(load.memoryTokens),
    Number.isFinite(load.gapTargetMs) ? load.gapTargetMs : NO_GAP,
  ]);
  const crashes = message.crashes.map((one) => [one.fingerprint, one.targetId]);
  return Buffer.from(
    JSON.stringify([
      message.self,
      rows,
      message.leavingIds,
      crashes,
      message.addresses,
    ]),
  );
}

/**
 * Decodes a datagram of a peer.
 *
 * @param bytes - The datagram.
 * @returns The message, or undefined when it is none.
 */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const parsed = messageSchema.safeParse(parse(bytes));
  if (!parsed.success) return undefined;
  const [self, rows, leavingIds, crashes, addresses] = parsed.data;
  return {
    self,
    loads: new Map(rows.map((row) => [row[0], loadOf(row)])),
    leavingIds,
    crashes: crashes.map(([fingerprint, targetId]) => ({
      fingerprint,
      targetId,
    })),
    addresses,
  };
}

function loadOf(row: z.infer<typeof loadRowSchema>): TargetLoad {
  const [, requests, readMs, readersValue, writers, writersValue] = row;
  const [contextTokens, memoryTokens, gap] = row.slice(6) as number[];
  return {
    requests,
    readMs,
    readersValue,
    writers,
    writersValue,
    contextTokens: contextTokens ?? 0,
    memoryTokens: memoryTokens ?? 0,
    gapTargetMs: gap === undefined || gap === NO_GAP ? Infinity : gap,
  };
}

/** Values are estimates; two decimals tell enough of them. */
function round2(value: number): number {
  return Math.round(value * 100) / 100;
}

function parse(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}
