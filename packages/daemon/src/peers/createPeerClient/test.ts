import { expect } from 'chai';
import { z } from 'zod';
import {
  startPeerServer,
  type PeerHandlers,
} from '../startPeerServer/index.ts';
import { createPeerClient, type PeerClient } from './index.ts';

const self = { entryId: 'e1', incarnation: 7 };

async function withPeer(
  handlers: PeerHandlers,
  use: (
    client: PeerClient,
    peer: { host: string; peerPort: number },
  ) => Promise<void>,
): Promise<void> {
  const server = await startPeerServer({
    host: '127.0.0.1',
    port: 0,
    handlers,
  });
  const client = createPeerClient({ self });
  try {
    await use(client, { host: '127.0.0.1', peerPort: server.port });
  } finally {
    client.close();
    await server.close();
  }
}

describe('createPeerClient', () => {
  it('passes a valid message and its sender to the topic and returns the reply', () =>
    withPeer(
      {
        topics: {
          limits: {
            schema: z.object({ used: z.number() }),
            handle: (message, from) => ({ message, from }),
          },
        },
      },
      async (client, peer) => {
        const replySchema = z.unknown();
        const sent = { topic: 'limits', message: { used: 3 }, replySchema };
        const reply = await client.notify(peer, sent)();
        expect(reply).toMatchSnapshot();
        const invalid = { ...sent, message: { used: 'three' } };
        const invalidReply = await client.notify(peer, invalid)();
        expect(invalidReply).to.have.nested.property('left.type', 'invalid');
        const unknownTopicReply = await client.notify(peer, {
          ...sent,
          topic: 'none',
        })();
        expect(unknownTopicReply).to.have.nested.property(
          'left.type',
          'unsupported',
        );
      },
    ));

  it('streams chunks larger than the connection window in order', () =>
    withPeer(
      {
        chunks: async function* (hashes) {
          for (const hash of hashes) {
            yield await Promise.resolve({
              hash,
              content: Buffer.alloc(900_000, hash),
            });
          }
        },
      },
      async (client, peer) => {
        const reply = await client.fetchChunks(peer, ['a', 'b', 'c'], 10_000)();
        const chunks = reply._tag === 'Right' ? reply.right : [];
        expect(
          chunks.map((c) => [c.hash, c.content.length, c.content.at(-1)]),
        ).toMatchSnapshot();
      },
    ));

  it('reports an unreachable server, an unsupported call and a timeout', () =>
    withPeer(
      {
        topics: {
          placing: {
            schema: z.unknown(),
            handle: () => new Promise(() => undefined),
          },
        },
      },
      async (client, peer) => {
        const absentServer = await client.probe({
          host: '127.0.0.1',
          peerPort: 1,
        })();
        expect(absentServer).to.have.nested.property(
          'left.type',
          'unreachable',
        );
        const unsupportedCall = await client.fetchManifest(peer)();
        expect(unsupportedCall).to.have.nested.property(
          'left.type',
          'unsupported',
        );
        const unanswered = {
          topic: 'placing',
          message: 1,
          replySchema: z.unknown(),
        };
        const timedOut = await client.notify(peer, unanswered, 50)();
        expect(timedOut).to.have.nested.property('left.type', 'timedOut');
      },
    ));
});
