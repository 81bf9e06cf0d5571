import { expect } from 'chai';
import { request as httpRequest, type IncomingHttpHeaders } from 'node:http';
import { type Gateway, startGateway } from '../startGateway/index.ts';
import { settle } from '../testFleet/index.ts';
import {
  createTestClock,
  testConfig,
  testGatewayOptions,
  type TestClock,
} from '../testGateway/index.ts';

/** From then on, an entry that shuts down exits as soon as no request is open. */
const IDLE_MS = 3500;

/** What a caller received. */
interface Seen {
  readonly status: number | undefined;
  readonly headers: IncomingHttpHeaders;
}

describe('an entry that shuts down right after its start', () => {
  let gateway: Gateway;
  let clock: TestClock;
  let port = 0;

  beforeEach(async () => {
    clock = createTestClock();
    const options = await testGatewayOptions({ now: clock.now });
    port = Number(options.callerAddress.split(':')[1]);
    gateway = startGateway(options);
  });

  afterEach(() => {
    gateway.stop();
  });

  function ask(): Promise<Seen> {
    return new Promise((resolve, reject) => {
      const headers = { host: 'api.example', 'x-request': 'a1' };
      const call = httpRequest({ port, agent: false, headers }, (response) => {
        response.resume().on('end', () => {
          resolve({ status: response.statusCode, headers: response.headers });
        });
      });
      call.on('error', reject);
      call.end();
    });
  }

  // Guards against callers that wait for a configuration which does not come any more.
  it('refuses requests, as not run, before its first configuration and without targets', async () => {
    gateway.leave(() => undefined);
    const seen = [await ask()];
    gateway.runtime.applyConfig(testConfig(), 'test');
    seen.push(await ask());
    const answers = seen.map(({ status, headers }) => ({
      status,
      connection: headers.connection,
      hasPause: headers['retry-after'] !== undefined,
    }));
    expect(answers).to.deep.equal([
      { status: 503, connection: 'close', hasPause: true },
      { status: 503, connection: 'close', hasPause: true },
    ]);
    expect(gateway.isReady()).to.equal(false);
  });

  // Guards against a second signal that begins the grace period anew, or ends the process.
  it('goes on with its grace period when it is told to leave again', async () => {
    const ended: string[] = [];
    gateway.leave(() => ended.push('first'));
    clock.skip(IDLE_MS - 1000);
    gateway.leave(() => ended.push('second'));
    await settle(120);
    expect(ended).to.deep.equal([]);
    clock.skip(1000);
    while (ended.length === 0) await settle(10);
    await settle(120);
    expect(ended).to.deep.equal(['first']);
  });
});
