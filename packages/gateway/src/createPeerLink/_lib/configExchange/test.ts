import { expect } from 'chai';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import { serveJson } from '../../../exchangeJson/index.ts';
import { testConfig } from '../../../testGateway/index.ts';
import { CONFIG_PATH, fetchConfig } from './index.ts';

/** JSON has no undefined values. */
const earlier = { ...testConfig(), requiresKeys: undefined };

describe('fetchConfig', () => {
  let server: Server | undefined;

  afterEach(() => server?.close());

  /** Fetches a configuration from a peer that sends this value. */
  async function fetchFrom(value: unknown): Promise<unknown> {
    const peer = serveJson(CONFIG_PATH, () => value);
    server = peer;
    await new Promise<void>((resolve) => {
      peer.listen(0, '127.0.0.1', resolve);
    });
    const { port } = peer.address() as AddressInfo;
    return new Promise((resolve) => {
      fetchConfig(`127.0.0.1:${port}`, (fetched) => {
        resolve(
          E.isLeft(fetched) ? fetched.left : fetched.right.value.requiresKeys,
        );
      });
    });
  }

  it('keeps whether keys are needed', async () => {
    expect(await fetchFrom({ ...earlier, requiresKeys: false })).to.equal(
      false,
    );
    expect(await fetchFrom({ ...earlier, requiresKeys: true })).to.equal(true);
  });

  // Guards against a peer of an earlier build that opens all routes, or closes them.
  it('uses what an earlier build sends only if it has workspaces', async () => {
    const workspaces = [{ name: 'w1', keys: ['k1'] }];
    expect(await fetchFrom({ ...earlier, workspaces })).to.equal(true);
    expect(await fetchFrom(earlier)).to.deep.equal({
      type: 'failed',
      reason: 'does not say whether requests need keys',
    });
  });
});
