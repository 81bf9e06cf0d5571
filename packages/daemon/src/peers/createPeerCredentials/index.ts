import { readFileSync } from 'node:fs';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';

/** PEM files for TLS between entries. */
export interface PeerTlsFiles {
  readonly keyFile: string;
  readonly certFile: string;
  /** When given, both sides must present a certificate of this authority. */
  readonly caFile?: string | undefined;
}

/** Credentials of an entry towards its peers. */
export interface PeerCredentials {
  readonly server: ServerCredentials;
  readonly channel: ChannelCredentials;
}

/**
 * Builds the credentials for calls between entries.
 *
 * @param tls - Key, certificate and authority; plain TCP when absent.
 * @returns Credentials for the server and for the channels.
 * @throws If a file cannot be read or holds no PEM.
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
