import { expect } from 'chai';
import { createServer } from 'node:net';
import { testAddress } from './index.ts';

const MIN_EPHEMERAL_PORT = 32_768;

describe('testAddress', () => {
  it('returns different addresses below the ephemeral port range', async () => {
    const first = await testAddress();
    const second = await testAddress();
    expect(first).not.to.equal(second);
    [first, second].forEach((address) => {
      expect(Number(address.split(':')[1])).to.be.below(MIN_EPHEMERAL_PORT);
    });
  });

  it('skips a port that is in use', async () => {
    const first = await testAddress();
    const port = Number(first.split(':')[1]);
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(port + 1, '127.0.0.1', resolve);
    });
    expect(await testAddress()).not.to.equal(`127.0.0.1:${port + 1}`);
    await new Promise((resolve) => server.close(resolve));
  });
});
