import { expect } from 'chai';
import { createServer } from 'node:net';
import { testAddress } from '../testAddress/index.ts';
import { probeAddress, type ProbeResult } from './index.ts';

const probe = (address: string) =>
  new Promise<ProbeResult>((resolve) => {
    probeAddress(address, resolve);
  });

describe('probeAddress', () => {
  it('tells an address without a listener from one that accepts', async () => {
    const address = await testAddress();
    expect(await probe(address)).to.equal('refused');
    const server = createServer((socket) =>
      socket.on('error', () => undefined),
    );
    await new Promise<void>((resolve) => {
      server.listen(Number(address.split(':')[1]), '127.0.0.1', resolve);
    });
    expect(await probe(address)).to.equal('accepted');
    server.close();
  });
});
