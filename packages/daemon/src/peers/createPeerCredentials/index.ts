import { readFileSync } from 'node:fs';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';

/** Paths of the PEM files for TLS between entries. */
export interface PeerTlsFiles {
  readonly keyFile: string;
  readonly certFile: string;
  /** If set, both sides must present a certificate signed by this authority. */
  readonly caFile?: string | undefined;
}

/** gRPC credentials of an entry for connections with its peers. */
export interface PeerCredentials {
  readonly server: ServerCredentials;
  readonly channel: ChannelCredentials;
}

/**
 * Creates the credentials for calls between entries.
 *
 * @param tls - Key, certificate and authority; without it, plain TCP is used.
 * @returns Credentials for the server and for the channels.
 * @throws If a file cannot be read or is not a valid PEM file.
 *
 * @example
 * const credentials = createPeerCredentials(settings.peers.tls);
 */
export function createPeerCredentials(
  tls: PeerTlsFiles | undefined,
): PeerCredentials {
  if (tls === undefined) {
    return {
      server: ServerCredentials.createInsecure(),
      channel: ChannelCredentials.createInsecure(),
    };
  }
  const key = readFileSync(tls.keyFile);
  const certificate = readFileSync(tls.certFile);
  const authority = tls.caFile === undefined ? null : readFileSync(tls.caFile);
  return {
    server: ServerCredentials.createSsl(
      authority,
      [{ private_key: key, cert_chain: certificate }],
      authority !== null,
    ),
    channel: ChannelCredentials.createSsl(authority, key, certificate),
  };
}
