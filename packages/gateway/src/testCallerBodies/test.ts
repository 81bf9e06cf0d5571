import { expect } from 'chai';
import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import { connect, type Socket } from 'node:net';
import {
  sign,
  startTestGateway,
  type TestGateway,
} from '../testGateway/index.ts';

const answer: RequestListener = (request, response) => {
  sign(request, response);
  response.end('id: 1\ndata: a\n\n');
};

describe('bodies that callers do not send as announced', () => {
  let entry: TestGateway;
  let caller: Socket;
  let received = '';

  beforeEach(async () => {
    entry = await startTestGateway({ targets: [answer] });
    caller = connect(entry.callerPort, '127.0.0.1');
    received = '';
    caller.on('data', (bytes: Buffer) => {
      received += bytes.toString();
    });
    caller.on('error', () => undefined);
  });

  afterEach(async () => {
    caller.destroy();
    await entry.stop();
  });

  function send(headers: readonly string[], body = ''): void {
    const id = 'x-request: a1';
    const lines = ['POST /a HTTP/1.1', 'Host: api.example', id, ...headers];
    caller.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }

  function statuses(): readonly string[] {
    return received.match(/(?<=HTTP\/1\.1 )\d+/g) ?? [];
  }

  // Guards against requests that are kept beyond the time in which they can be answered.
  it('refuses a body that is not complete by the deadline, as not run', async () => {
    send(['Content-Length: 10', 'x-deadline-ms: 200'], 'abc');
    await once(caller, 'close');
    expect(statuses()).to.deep.equal(['408']);
    expect(entry.sends).to.deep.equal([]);
  });
});
