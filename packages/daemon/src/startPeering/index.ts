import type { Settings } from '@endivegate/contracts';
import {
  type Membership,
  type PacketClock,
  startMembership,
} from '../membership/index.ts';
import {
  createPeerClient,
  createPeerCredentials,
  type PeerClient,
  type PeerHandlers,
  startPeerServer,
} from '../peers/index.ts';

/** Options of {@link startPeering}. */
export interface StartPeeringOptions {
  readonly self: { readonly entryId: string; readonly incarnation: number };
  readonly listenHost: string;
  readonly peers: Settings['peers'];
  /** Key that signs membership datagrams; they are unsigned when absent. */
  readonly key: string | undefined;
  readonly clock: PacketClock;
  readonly handlers: PeerHandlers;
  readonly onSuperseded: (incarnation: number) => void;
}

/** An entry's endpoints of the peer protocol. */
export interface Peering {
  /** Port of the gRPC server and of the membership datagrams. */
  readonly port: number;
  readonly client: PeerClient;
  readonly membership: Membership;
  readonly close: () => Promise<void>;
}

/**
 * Opens an entry's endpoints of the peer protocol.
 *
 * @param options - Address, credentials, clock and handlers of peer requests.
 * @returns The open endpoints.
 * @throws If a port cannot be bound or a key file cannot be read.
 */
export async function startPeering(
  options: StartPeeringOptions,
): Promise<Peering> {
  const credentials = createPeerCredentials(options.peers.tls);
  const client = createPeerClient({
    self: options.self,
    credentials: credentials.channel,
  });
  const server = await startPeerServer({
    host: options.listenHost,
    port: options.peers.port,
    credentials: credentials.server,
    handlers: options.handlers,
  });
  const membership = await startMembership({
    host: options.listenHost,
    peerPort: server.port,
    key: options.key,
    client,
    clock: options.clock,
    onSuperseded: options.onSuperseded,
  });
  return {
    port: server.port,
    client,
    membership,
    close: async () => {
      client.close();
      await membership.close();
      await server.close();
    },
  };
}
