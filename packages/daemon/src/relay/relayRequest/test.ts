import type { Ran } from '@endivegate/contracts';
import { expect } from 'chai';
import { once } from 'node:events';
import {
  createPeerClient,
  startPeerServer,
  type PeerClient,
} from '../../peers/index.ts';
import { serveRelay, type ServeRelayOptions } from '../serveRelay/index.ts';
import { relayRequest, type RelayCall } from './index.ts';

const head = {
  requestId: 'r1',
  method: 'POST',
  path: '/v1/completions',
  headers: { accept: 'text/event-stream' },
  hops: 1,
  timeoutMs: 10_000,
};
const KIB = 1024;

interface Peer {
  readonly client: PeerClient;
  readonly peer: { readonly host: string; readonly peerPort: number };
}

async function withHomeEntry(
  serve: ServeRelayOptions['serve'],
  use: (peer: Peer) => Promise<void>,
): Promise<void> {
  const server = await startPeerServer({
    host: '127.0.0.1',
    port: 0,
    handlers: { relay: serveRelay({ serve }) },
  });
  const client = createPeerClient({ self: { entryId: 'a', incarnation: 1 } });
  try {
    await use({ client, peer: { host: '127.0.0.1', peerPort: server.port } });
  } finally {
    client.close();
    await server.close(0);
  }
}

function callOf(overrides: Partial<RelayCall> = {}): RelayCall & {
  readonly received: Buffer[];
} {
  const received: Buffer[] = [];
  return {
    head,
    body: Buffer.from('body'),
    signal: new AbortController().signal,
    received,
    sink: {
      writeHead: () => undefined,
      writeChunk: (chunk) => {
        received.push(Buffer.from(chunk));
        return Promise.resolve();
      },
    },
    ...overrides,
  };
}

async function* chunksOf(...texts: string[]): AsyncIterable<Uint8Array> {
  for (const text of texts) yield await Promise.resolve(Buffer.from(text));
}

const answerOf = (chunks: AsyncIterable<Uint8Array>, ran: Ran = 'yes') =>
  Promise.resolve({
    head: { status: 200, headers: { 'content-type': 'text/plain' } },
    chunks,
    ran: () => ran,
  });

describe('relayRequest', () => {
  it('sends a large body and receives the answer in order', () =>
    withHomeEntry(
      ({ body }) => answerOf(chunksOf('a', 'b', String(body.length))),
      async ({ client, peer }) => {
        const call = callOf({ body: Buffer.alloc(6 * KIB * KIB) });
        const end = await relayRequest(peer, call, { client })();
        expect(end).to.deep.include({ right: 'yes' });
        expect(Buffer.concat(call.received).toString()).to.equal('ab6291456');
      },
    ));

  it('does not read ahead of a slow caller', async () => {
    let produced = 0;
    async function* endless(): AsyncIterable<Uint8Array> {
      for (;;) {
        produced += 1;
        yield await Promise.resolve(Buffer.alloc(64 * KIB));
      }
    }
    await withHomeEntry(
      () => answerOf(endless()),
      async ({ client, peer }) => {
        const caller = new AbortController();
        let taken = 0;
        const call = callOf({
          signal: caller.signal,
          sink: {
            writeHead: () => undefined,
            writeChunk: async () => {
              taken += 1;
              if (taken < 10) return;
              // Waits until the home entry produces no more chunks, then
              // disconnects the caller.
              for (let producedBefore = -1; producedBefore !== produced;) {
                producedBefore = produced;
                await new Promise((resolve) => setTimeout(resolve, 50));
              }
              caller.abort();
            },
          },
        });
        await relayRequest(peer, call, { client })();
        // Allows for the chunks that fit in the flow-control windows of the
        // connection and the buffers of both streams.
        expect(produced).to.be.lessThan(200);
      },
    );
  });

  it('cancels the request on the home entry when the caller disconnects', async () => {
    const aborted = new Promise<void>((resolve) => {
      void withHomeEntry(
        async ({ signal }) => {
          signal.addEventListener('abort', () => {
            resolve();
          });
          await once(signal, 'abort');
          return answerOf(chunksOf());
        },
        async ({ client, peer }) => {
          const caller = new AbortController();
          const call = callOf({ signal: caller.signal });
          setTimeout(() => {
            caller.abort();
          }, 20);
          const end = await relayRequest(peer, call, { client })();
          expect(end).to.have.nested.property('left.type', 'cut');
          await aborted;
        },
      );
    });
    await aborted;
  });

  it('distinguishes requests that were not sent, refused or cut', () =>
    withHomeEntry(
      async ({ head: { path } }) => {
        async function* broken(): AsyncIterable<Uint8Array> {
          yield await Promise.resolve(Buffer.from('half'));
          throw new Error('target died');
        }
        return answerOf(path === '/cut' ? broken() : chunksOf('x'));
      },
      async ({ client, peer }) => {
        const relay = (to: typeof peer, call: RelayCall) =>
          relayRequest(to, call, { client, connectTimeoutMs: 200 })();
        const unreachable = { host: '127.0.0.1', peerPort: 1 };
        expect(await relay(unreachable, callOf())).to.have.nested.property(
          'left.type',
          'notSent',
        );
        const tooManyHops = callOf({ head: { ...head, hops: 2 } });
        expect(await relay(peer, tooManyHops)).to.have.nested.property(
          'left.type',
          'refused',
        );
        const cut = callOf({ head: { ...head, path: '/cut' } });
        expect(await relay(peer, cut)).to.deep.include({
          left: {
            type: 'cut',
            reason: 'Error: target died',
            answered: true,
          },
        });
      },
    ));
});
