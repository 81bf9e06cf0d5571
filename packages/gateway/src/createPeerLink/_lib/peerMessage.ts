import { decodeMulti, encode } from '@msgpack/msgpack';
import type {
  CrashReport,
  InFlightRequest,
  LimitReport,
  PartReport,
  PeerStatus,
  TargetProcess,
} from '@endivegate/core/forwarding';
import {
  type ExactInteger,
  exactIntegerSchema,
  socketAddressSchema,
} from '@endivegate/contracts/forwarding';
import { z } from 'zod';
import { decodeLimitRows, encodeLimitRows } from './limitRows.ts';
import { decodePartRows, encodePartRows } from './partRows.ts';
import { processFields } from './processRow.ts';
import {
  type ApplyReceived,
  CONFIG_VERSION_KEY,
  type ExtensionRegistry,
  pathOf,
  PEER_EXTENSIONS,
  readExtensions,
  VERSION_KEY,
} from './peerExtensions.ts';

/** Message with the complete state that an entry shares with its peers. */
export interface PeerMessage {
  readonly self: PeerStatus;
  /** Requests in flight of the sender; undefined if the message does not tell. */
  readonly flights: readonly InFlightRequest[] | undefined;
  /** Target processes known to be draining. */
  readonly drainingProcesses: readonly TargetProcess[];
  /** Crashes of targets. Entries of earlier builds report each broken connection, and
   * do not read the deaths of whole requests in `parts`. */
  readonly crashes: readonly CrashReport[];
  /** Peer addresses of other entries. */
  readonly addresses: readonly string[];
  /** Parts of prompts that crash targets; undefined if there is nothing to report. */
  readonly parts?: PartReport | undefined;
  /** Limits that targets name; undefined if there is nothing to report. */
  readonly limits?: readonly LimitReport[] | undefined;
  /** Values of extensions by key; entries of earlier builds do not read them. */
  readonly extensions?: Readonly<Record<string, unknown>> | undefined;
}

/** A message that was read. */
export interface ReceivedMessage {
  readonly message: Omit<PeerMessage, 'extensions'>;
  /** The message as it was sent, to pass it on. */
  readonly row: readonly unknown[];
  /** Readable extensions. */
  readonly extensions: readonly ApplyReceived[];
}

/** A part of a datagram that could not be read. */
export interface MalformedPart {
  /** Index of the message in its datagram. */
  readonly message: number;
  /** Path to the part, as in `1.0.3` or `8.v`; empty for the whole message. */
  readonly path: string;
}

/** Messages of a datagram, as far as they could be read. */
export interface ReceivedDatagram {
  readonly messages: readonly ReceivedMessage[];
  readonly malformed: readonly MalformedPart[];
  /** Number of extension keys that this build does not know. */
  readonly unknownKeys: number;
}

/** Maps target ids to the hashes that stand for them in messages. */
export interface TargetCodec {
  readonly hashOf: (targetId: string) => number | undefined;
  readonly idOf: (hash: number) => string | undefined;
}

const hash = z.number();

/** An entry of an earlier build passes on addresses that it has not checked. */
const addressesSchema = z
  .array(z.string())
  .transform((addresses) =>
    addresses.filter((one) => socketAddressSchema.safeParse(one).success),
  );

const selfSchema = z.tuple([
  z.string(),
  socketAddressSchema,
  z.string(),
  z.string(),
  z.number(),
  z.boolean(),
  z.boolean(),
  z.number(),
  z.number(),
]);

/** Encoded as an array to save space: these rows make up most of a datagram. */
const flightSchema = z.tuple([
  hash,
  /** Time since the request was sent, in ms. */
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.boolean(),
  z.boolean(),
  z.array(hash),
  z.array(z.tuple([hash, z.number()])),
]);

/** Later builds append elements, which this one does not read. */
const messageSchema = z
  .tuple([
    selfSchema,
    z.array(flightSchema).nullable(),
    z.array(z.tuple([...processFields])),
    z.array(z.tuple([z.string(), z.string()])),
    addressesSchema,
  ])
  .rest(z.unknown());

/** Positions of the elements that not all builds send. */
const PARTS_INDEX = 5;
const LIMITS_INDEX = 6;
const EXTENSIONS_INDEX = 8;

/** Values are estimates, so two decimals are enough. */
const VALUE_SCALE = 100;

/**
 * Encodes a message to peers.
 *
 * @param message - The message.
 * @param codec - Mapping of target ids to hashes.
 * @param nowMs - Monotonic time of the sender.
 * @returns Payload of a datagram, without its first byte.
 */
export function encodePeerMessage(
  message: PeerMessage,
  codec: TargetCodec,
  nowMs: number,
): Uint8Array {
  const { self } = message;
  const body: z.infer<typeof messageSchema> = [
    [
      self.name,
      self.peerAddress,
      self.callerAddress,
      self.dataCentre,
      self.startedAtUnixMs,
      self.isReady,
      self.isLeaving,
      Number(self.configVersion),
      self.weight,
    ],
    message.flights?.flatMap((flight) => encodeFlight(flight, codec, nowMs)) ??
      null,
    message.drainingProcesses.map((one) => [one.id, one.bornMs]),
    message.crashes.map((one) => [one.fingerprint, one.targetId]),
    [...message.addresses],
    ...encodeReports(message, nowMs),
  ];
  return encode(body);
}

/**
 * Decodes the concatenated messages of a datagram. A message that cannot be read
 * does not affect the others, unless it hides where the next one starts.
 *
 * @param bytes - The messages.
 * @param codec - Mapping of hashes to target ids; requests at unknown targets
 * are omitted.
 * @param nowMs - Monotonic time of the receiver.
 * @param registry - The known extensions.
 * @returns The readable messages, and what was dropped.
 */
export function decodePeerMessages(
  bytes: Uint8Array,
  codec: TargetCodec,
  nowMs: number,
  registry: ExtensionRegistry = PEER_EXTENSIONS,
): ReceivedDatagram {
  const { values, isComplete } = unpack(bytes);
  const decoded = values.map((value, index) =>
    decodeMessage(value, { index, codec, nowMs, registry }),
  );
  return {
    messages: decoded.flatMap((one) => one.messages),
    malformed: [
      ...decoded.flatMap((one) => one.malformed),
      ...(isComplete ? [] : [{ message: values.length, path: '' }]),
    ],
    unknownKeys: decoded.reduce((sum, one) => sum + one.unknownKeys, 0),
  };
}

interface DecodeContext {
  /** Index of the message in its datagram. */
  readonly index: number;
  readonly codec: TargetCodec;
  readonly nowMs: number;
  readonly registry: ExtensionRegistry;
}

function decodeMessage(
  value: unknown,
  { index, codec, nowMs, registry }: DecodeContext,
): ReceivedDatagram {
  const parsed = messageSchema.safeParse(value);
  if (!parsed.success) {
    const malformed = [{ message: index, path: pathOf(parsed.error) }];
    return { messages: [], malformed, unknownKeys: 0 };
  }
  const [self, flights, draining, crashes, addresses, ...reports] = parsed.data;
  const [partRows, limitRows, isCutOff, extensionMap] = reports;
  const { report: parts, malformed: malformedParts } = decodePartRows(
    partRows,
    nowMs,
  );
  const limits = decodeLimitRows(limitRows, nowMs);
  const extensions = readExtensions(extensionMap, registry);
  const { protocolVersion, configVersion } = extensions;
  const message = {
    self: {
      name: self[0],
      peerAddress: self[1],
      callerAddress: self[2],
      dataCentre: self[3],
      startedAtUnixMs: self[4],
      isReady: self[5],
      isLeaving: self[6],
      configVersion: configVersion ?? readVersion(self[7]),
      weight: self[8],
      ...(isCutOff === true ? { isCutOff } : {}),
      ...(protocolVersion === 0 ? {} : { protocolVersion }),
    },
    flights: flights?.flatMap((row) => decodeFlight(row, codec, nowMs)),
    drainingProcesses: draining.map(([id, bornMs]) => ({ id, bornMs })),
    crashes: crashes.map(([fingerprint, targetId]) => ({
      fingerprint,
      targetId,
    })),
    addresses,
    ...(parts === undefined ? {} : { parts }),
    ...(limits === undefined ? {} : { limits }),
  };
  const paths = [
    ...malformedParts.map((path) => pathBelow(PARTS_INDEX, path)),
    ...unreadable(LIMITS_INDEX, limitRows, limits),
    ...extensions.malformed.map((path) => pathBelow(EXTENSIONS_INDEX, path)),
  ];
  return {
    messages: [{ message, row: parsed.data, extensions: extensions.received }],
    malformed: paths.map((path) => ({ message: index, path })),
    unknownKeys: extensions.unknownKeys,
  };
}

function pathBelow(index: number, path: string): string {
  return path === '' ? `${index}` : `${index}.${path}`;
}

/** Path of an optional element that was sent and could not be read. */
function unreadable(
  index: number,
  sent: unknown,
  read: unknown,
): readonly string[] {
  const isSent = sent !== undefined && sent !== null;
  return isSent && read === undefined ? [`${index}`] : [];
}

/** Encodes the elements that entries of earlier builds do not read; those at the end
 * are left out if they say nothing. */
function encodeReports(
  { self, parts, limits, extensions }: PeerMessage,
  nowMs: number,
): readonly unknown[] {
  const reports = [
    parts === undefined ? null : encodePartRows(parts, nowMs),
    limits === undefined ? null : encodeLimitRows(limits, nowMs),
    self.isCutOff === true ? true : null,
    encodeExtensions(self, extensions),
  ];
  const last = reports.findLastIndex((report) => report !== null);
  return reports.slice(0, last + 1);
}

/** An entry that is only passed on keeps the versions that it named, if any. */
function encodeExtensions(
  { protocolVersion = 0, configVersion }: PeerStatus,
  extensions: PeerMessage['extensions'],
): Readonly<Record<string, unknown>> | null {
  const version =
    protocolVersion === 0 ? {} : { [VERSION_KEY]: protocolVersion };
  const exactVersion =
    typeof configVersion === 'bigint'
      ? { [CONFIG_VERSION_KEY]: String(configVersion) }
      : {};
  const all = { ...extensions, ...version, ...exactVersion };
  return Object.keys(all).length === 0 ? null : all;
}

/** Reads the version of a status; 0 if an earlier build has rounded it, so that it is not
 * known. */
function readVersion(version: number): ExactInteger {
  return exactIntegerSchema.safeParse(version).data ?? 0;
}

function encodeFlight(
  flight: InFlightRequest,
  codec: TargetCodec,
  nowMs: number,
): z.infer<typeof flightSchema>[] {
  const targetHash = codec.hashOf(flight.targetId);
  if (targetHash === undefined) return [];
  return [
    [
      targetHash,
      Math.round(nowMs - flight.startedAtMs),
      Math.round(flight.partPrefillMs),
      Math.round(flight.memoryTokens),
      Math.round(flight.contextTokens),
      Math.round(flight.gapTargetMs),
      Math.round(flight.value * VALUE_SCALE),
      flight.isDecoding,
      flight.isShort,
      flight.helperIds.map(codec.hashOf).filter((one) => one !== undefined),
      flight.reservations.flatMap(({ targetId, tokens }) => {
        const helperHash = codec.hashOf(targetId);
        return helperHash === undefined ? [] : [[helperHash, tokens]];
      }),
    ],
  ];
}

function decodeFlight(
  row: z.infer<typeof flightSchema>,
  codec: TargetCodec,
  nowMs: number,
): readonly InFlightRequest[] {
  const [targetHash, ageMs, partPrefillMs, memoryTokens, contextTokens] = row;
  const targetId = codec.idOf(targetHash);
  if (targetId === undefined) return [];
  // Only the parts of a request that has ended occupy no memory.
  const isAbandoned = memoryTokens === 0 && partPrefillMs > 0;
  return [
    {
      flightId: '',
      targetId,
      startedAtMs: nowMs - ageMs,
      partPrefillMs,
      memoryTokens,
      contextTokens,
      gapTargetMs: row[5],
      value: row[6] / VALUE_SCALE,
      isDecoding: row[7],
      isShort: row[8],
      helperIds: row[9]
        .map(codec.idOf)
        .filter((helperId) => helperId !== undefined),
      reservations: row[10].flatMap(([helperHash, tokens]) => {
        const helperId = codec.idOf(helperHash);
        return helperId === undefined ? [] : [{ targetId: helperId, tokens }];
      }),
      ...(isAbandoned ? { isAbandoned } : {}),
    },
  ];
}

/** Unpacks the values up to the first one whose end cannot be found. */
function unpack(bytes: Uint8Array): {
  readonly values: readonly unknown[];
  readonly isComplete: boolean;
} {
  const values: unknown[] = [];
  // Without this limit, four bytes that name a long array reserve its memory.
  const maxLength = bytes.length;
  const limits = { maxArrayLength: maxLength, maxMapLength: maxLength };
  try {
    for (const value of decodeMulti(bytes, limits)) values.push(value);
    return { values, isComplete: bytes.length > 0 };
  } catch {
    return { values, isComplete: false };
  }
}
