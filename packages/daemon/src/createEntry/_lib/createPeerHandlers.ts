import { answerChunks, answerManifest } from '../../createTablePeers/index.ts';
import { listKnownMembers } from '../../membership/index.ts';
import type { NotifyTopic, PeerHandlers } from '../../peers/index.ts';
import { serveLocally, serveRelay } from '../../relay/index.ts';
import type { Runtime } from '../../runtime/index.ts';
import type { TableHandler } from '../../table/index.ts';
import {
  fromWireFilter,
  type Timeline,
  toWireRecord,
} from '../../timeline/index.ts';

/** Options of {@link createPeerHandlers}. */
export interface CreatePeerHandlersOptions {
  /** Called per peer request; the runtime may be created after the handlers. */
  readonly runtime: () => Runtime;
  readonly table: Pick<TableHandler, 'head' | 'values'>;
  readonly timeline: Timeline;
  readonly topics: Readonly<Record<string, NotifyTopic>>;
  /** Base URL of this entry's server for callers. */
  readonly callersUrl: () => string;
  readonly maxBodyBytes: number;
}

/**
 * Creates the handlers of requests from other entries.
 *
 * @param options - The parts of the entry that the replies are read from.
 * @returns The handlers of the peer server.
 */
export function createPeerHandlers(
  options: CreatePeerHandlersOptions,
): PeerHandlers {
  const { runtime, table, timeline } = options;
  return {
    members: () => listKnownMembers(runtime().state().membership),
    topics: options.topics,
    manifest: () => answerManifest(table),
    chunks: (keys) => answerChunks(table, keys),
    timeline: (filter) => readRecords(timeline, filter),
    relay: serveRelay({
      serve: (relayed) => serveLocally(options.callersUrl())(relayed),
      maxBodyBytes: options.maxBodyBytes,
    }),
  };
}

async function* readRecords(
  timeline: Timeline,
  filter: Parameters<typeof fromWireFilter>[0],
) {
  for (const record of timeline.read(fromWireFilter(filter))) {
    yield await Promise.resolve(toWireRecord(record));
  }
}
