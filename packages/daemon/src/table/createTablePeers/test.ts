import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createPeerClient } from '../../peers/createPeerClient/index.ts';
import { startPeerServer } from '../../peers/startPeerServer/index.ts';
import { createTablePeerHandlers, createTablePeers } from './index.ts';

const self = { entryId: 'entry-1', incarnation: 1 };
const chunkKey = 'table/chunk/aa.t1';

describe('createTablePeers', () => {
  it('reads head and values from a peer, and fails for an unknown peer', async () => {
    const server = await startPeerServer({
      host: '127.0.0.1',
      port: 0,
      handlers: createTablePeerHandlers({
        head: () => ({ number: 4, rootKey: 'table/chunk/bb.t1' }),
        values: (keys) =>
          keys
            .filter((key) => key === chunkKey)
            .map((key) => ({ key, value: '{"rows":[]}' })),
      }),
    });
    const client = createPeerClient({ self });
    const peers = createTablePeers({
      client,
      findPeer: (entryId) =>
        entryId === 'entry-2'
          ? { host: '127.0.0.1', peerPort: server.port }
          : undefined,
    });
    const head = await peers.fetchHead('entry-2')();
    const values = await peers.fetchValues('entry-2', [chunkKey, 'absent'])();
    const unknown = await peers.fetchHead('entry-9')();
    client.close();
    await server.close();
    expect({ head, values, unknown }).toMatchSnapshot();
    expect(E.isLeft(unknown)).to.equal(true);
  });
});
