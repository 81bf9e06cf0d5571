import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createEventLog } from '../createEventLog/index.ts';
import { answerJson } from '../exchangeJson/index.ts';
import { createGatewayRuntime } from '../gatewayRuntime/index.ts';
import { createRelayProbe } from './index.ts';

describe('relayProbe', () => {
  const servers: Server[] = [];

  afterEach(() => {
    servers.splice(0).forEach((server) => {
      server.close();
    });
  });

  async function serve(listener: RequestListener): Promise<string> {
    const server = createServer(listener);
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  // Guards against a request relayed to a build that answers it with 404.
  it('tells peers that serve relayed requests from those that do not', async () => {
    const asked: string[] = [];
    const without = await serve(answerJson('/config', () => ({})));
    const withRelays = await serve((request, response) => {
      asked.push(String(request.headers['x-relay-attempts']));
      response.writeHead(401, { 'x-relay-by': 'entry' }).end();
    });
    const newer = await serve(() => {
      expect.fail('a peer that names a version was asked');
    });
    const log = createEventLog({ entryId: 'e', write: () => true });
    const runtime = createGatewayRuntime(log);
    const peer = (name: string, peerAddress: string) => ({
      ...{ name, peerAddress, callerAddress: '', dataCentre: 'a' },
      ...{ startedAtUnixMs: 1, isReady: true, isLeaving: false },
      ...{ configVersion: 1, weight: 1 },
    });
    runtime.dispatch({
      type: 'peers.received',
      atMs: 0,
      peers: [
        peer('without', without),
        peer('with', withRelays),
        peer('gone', '127.0.0.1:1'),
        { ...peer('newer', newer), protocolVersion: 1 },
      ],
    });
    const probe = createRelayProbe({ runtime });
    probe.probeSome();
    const served = (name: string) =>
      runtime.state().peers.get(name)?.servesRelays;
    while (served('with') === undefined || served('without') === undefined)
      await new Promise((resolve) => setTimeout(resolve, 5));
    expect([served('with'), served('without'), served('gone')]).to.deep.equal([
      true,
      false,
      undefined,
    ]);
    expect(asked).to.deep.equal(['1']);
    probe.close();
  });
});
