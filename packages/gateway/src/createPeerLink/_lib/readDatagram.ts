import { encode } from '@msgpack/msgpack';
import { compact } from 'fp-ts/lib/Array.js';
import * as O from 'fp-ts/lib/Option.js';
import type { EventLog } from '../../createEventLog/index.ts';
import {
  decodePeerMessages,
  type ReceivedMessage,
  type TargetCodec,
} from './peerMessage.ts';

/** Data of peers that was ignored. */
export type IgnoredPeerData = 'datagram' | 'key' | 'malformed';

/** A datagram with at least one readable message. */
export interface Datagram {
  /** First byte. */
  readonly kind: number;
  readonly messages: readonly ReceivedMessage[];
  /** The messages to pass on: builds of protocol version 0 drop a datagram with a
   * malformed message, so that those are left out. */
  readonly bytes: Uint8Array;
}

/** Options of {@link readDatagram}. */
export interface ReadDatagramOptions {
  /** First bytes that this build knows. */
  readonly kinds: ReadonlySet<number>;
  readonly codec: TargetCodec;
  /** Monotonic time of the receiver. */
  readonly nowMs: number;
  readonly log: EventLog;
  /** Counts data that was ignored. */
  readonly countIgnored: (kind: IgnoredPeerData, amount: number) => void;
}

/**
 * Reads a datagram of a peer. What cannot be read is counted and logged.
 *
 * @param datagram - The datagram.
 * @param options - Known kinds, clock, log and counter.
 * @returns Its readable messages; undefined if there are none, or if its kind is
 * unknown.
 */
export function readDatagram(
  datagram: Buffer,
  options: ReadDatagramOptions,
): Datagram | undefined {
  const { kinds, codec, nowMs, log, countIgnored } = options;
  const kind = datagram[0];
  if (kind === undefined || !kinds.has(kind)) {
    countIgnored('datagram', 1);
    return undefined;
  }
  const bytes = datagram.subarray(1);
  const read = decodePeerMessages(bytes, codec, nowMs);
  const { messages, malformed, unknownKeys } = read;
  if (unknownKeys > 0) countIgnored('key', unknownKeys);
  if (malformed.length > 0) countIgnored('malformed', malformed.length);
  if (messages.length === 0) {
    log.warn('peers.unreadable', { bytes: datagram.length });
    return undefined;
  }
  const [first] = malformed;
  if (first === undefined) return { kind, messages, bytes };
  // One line for each datagram: each of its bytes may be a malformed message.
  log.warn('peers.malformed', {
    peer: messages[0]?.message.self.name,
    message: first.message,
    path: first.path,
    malformed: malformed.length,
  });
  const rows = compact(messages.map(({ row }) => encodeRow(row)));
  return { kind, messages, bytes: Buffer.concat(rows) };
}

/** Encodes a message as it was received; none if an element that this build does not know
 * is nested too deeply. */
const encodeRow = O.tryCatchK((row: readonly unknown[]) => encode(row));
