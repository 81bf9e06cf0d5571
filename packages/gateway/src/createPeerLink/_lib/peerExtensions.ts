import {
  type ExactInteger,
  wireIntegerSchema,
} from '@endivegate/contracts/forwarding';
import type {
  GatewayEvent,
  GatewayState,
  PeerStatus,
} from '@endivegate/core/forwarding';
import { z } from 'zod';
import { evacuationExtension } from './evacuationExtension.ts';
import { removalExtension } from './removalExtension.ts';
import { warmExtension } from './warmExtension.ts';

/** Key of the sender's protocol version among the extensions. */
export const VERSION_KEY = 'v';

/** Key of the digits of the sender's configuration version among the extensions. Only
 * versions that doubles cannot hold have it; the status has them rounded. */
export const CONFIG_VERSION_KEY = 'cv';

/** The protocol version of a message; a higher one than this build's is accepted. */
export const versionSchema = z.number().int().min(1).max(65_535);

/** What an extension is described from. */
export interface DescribeContext {
  /** Monotonic time of the sender. */
  readonly nowMs: number;
  /** Name of the sender. */
  readonly name: string;
  /** Whether to report what was received too, for entries that start later. */
  readonly includeReceived: boolean;
}

/** What the receiver knows beside the value of an extension. */
export interface ReceiveContext {
  /** Monotonic time of the receiver. */
  readonly nowMs: number;
  readonly sender: PeerStatus;
}

/** Definition of an extension of peer messages. */
export interface ExtensionDefinition<Schema extends z.ZodType> {
  /** Schema of the value; a value that it rejects is dropped. */
  readonly schema: Schema;
  /** Values to report, each sent in a datagram of its own; none if there is nothing
   * to report. Each has to fit into 1,000 bytes. */
  readonly describe: (
    state: GatewayState,
    context: DescribeContext,
  ) => readonly z.input<Schema>[];
  /** Events that a received value causes. */
  readonly apply: (
    value: z.output<Schema>,
    context: ReceiveContext,
  ) => readonly GatewayEvent[];
}

/** Returns the events that a received value causes. */
export type ApplyReceived = (
  context: ReceiveContext,
) => readonly GatewayEvent[];

/** An extension whose values have been hidden behind its schema. */
export interface PeerExtension {
  readonly describe: (
    state: GatewayState,
    context: DescribeContext,
  ) => readonly unknown[];
  /** Reads a received value; on failure, returns the path to the offending item. */
  readonly read: (value: unknown) => ApplyReceived | { readonly path: string };
}

/** Extensions by the key that they have in messages. */
export type ExtensionRegistry = Readonly<Record<string, PeerExtension>>;

/**
 * Defines an extension.
 *
 * @param definition - Its schema, and how its values are described and applied.
 * @returns The extension, for a registry.
 *
 * @example
 * defineExtension({ schema: z.number(), describe: () => [1], apply: () => [] });
 */
export function defineExtension<Schema extends z.ZodType>(
  definition: ExtensionDefinition<Schema>,
): PeerExtension {
  const { schema, describe, apply } = definition;
  return {
    describe,
    read(value) {
      const parsed = schema.safeParse(value);
      return parsed.success
        ? (context) => apply(parsed.data, context)
        : { path: pathOf(parsed.error) };
    },
  };
}

/** The extensions that this build knows. */
export const PEER_EXTENSIONS: ExtensionRegistry = {
  evac: defineExtension(evacuationExtension('numbers')),
  evacDigits: defineExtension(evacuationExtension('digits')),
  gone: defineExtension(removalExtension('numbers')),
  goneDigits: defineExtension(removalExtension('digits')),
  warm: defineExtension(warmExtension),
};

/** Extensions of a message, as far as they could be read. */
export interface ReceivedExtensions {
  /** 0 if the sender names none. */
  readonly protocolVersion: number;
  /** Undefined unless the version of the status is rounded. */
  readonly configVersion: ExactInteger | undefined;
  readonly received: readonly ApplyReceived[];
  /** Paths of known keys with malformed values. */
  readonly malformed: readonly string[];
  /** Number of keys that this build does not know. */
  readonly unknownKeys: number;
}

const extensionsSchema = z.record(z.string(), z.unknown());

const NO_EXTENSIONS: ReceivedExtensions = {
  protocolVersion: 0,
  configVersion: undefined,
  received: [],
  malformed: [],
  unknownKeys: 0,
};

/**
 * Reads the extensions of a message.
 *
 * @param value - Element 8 of the message; undefined or null if it has none.
 * @param registry - The known extensions.
 * @returns The readable extensions, and what was dropped.
 */
export function readExtensions(
  value: unknown,
  registry: ExtensionRegistry,
): ReceivedExtensions {
  if (value === undefined || value === null) return NO_EXTENSIONS;
  const parsed = extensionsSchema.safeParse(value);
  if (!parsed.success) return { ...NO_EXTENSIONS, malformed: [''] };
  const {
    [VERSION_KEY]: version,
    [CONFIG_VERSION_KEY]: configVersion,
    ...rest
  } = parsed.data;
  const known = Object.entries(rest).flatMap(([key, one]) =>
    Object.hasOwn(registry, key)
      ? [{ key, read: registry[key]?.read(one) }]
      : [],
  );
  const parsedVersion = versionSchema.safeParse(version);
  const parsedConfig = wireIntegerSchema.safeParse(configVersion);
  return {
    protocolVersion: parsedVersion.success ? parsedVersion.data : 0,
    configVersion: parsedConfig.data,
    received: known.flatMap(({ read }) =>
      typeof read === 'function' ? [read] : [],
    ),
    malformed: [
      ...(version === undefined || parsedVersion.success ? [] : [VERSION_KEY]),
      ...(configVersion === undefined || parsedConfig.success
        ? []
        : [CONFIG_VERSION_KEY]),
      ...known.flatMap(({ key, read }) =>
        typeof read === 'object'
          ? [[key, read.path].filter((part) => part !== '').join('.')]
          : [],
      ),
    ],
    unknownKeys: Object.keys(rest).length - known.length,
  };
}

/** Path to the first issue, as in `0.3`; empty for the whole value. */
export function pathOf(error: z.ZodError): string {
  return (error.issues[0]?.path ?? []).map(String).join('.');
}
