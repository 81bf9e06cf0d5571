import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { connect, Socket } from 'node:net';
import {
  sign,
  type StartTestGatewayOptions,
  startTestGateway,
  type TestGateway,
} from '../testGateway/index.ts';

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;

/** Longer than the silence after which a request is sent to another target. */
const STREAM_SILENCE_MS = 1000;
const FIRST_EVENT_SILENCE_MS = 1900;
const PLAIN_SILENCE_MS = 1200;

const GRACE_MS = 8000;

const refuse: RequestListener = (_request, response) => {
  response.writeHead(503, { 'x-not-run': '1' }).end();
};

const breakOff: RequestListener = (request) => {
  request.socket.resetAndDestroy();
};

const staySilent: RequestListener = () => undefined;

const refuseInside: RequestListener = (request, response) => {
  sign(request, response);
  response.writeHead(400).end('no');
};

/** Falls silent for a while between two events, and then goes on. */
const silentBetweenEvents: RequestListener = (request, response) => {
  sign(request, response);
  response.write(event(1));
  setTimeout(() => response.end(event(2)), STREAM_SILENCE_MS);
};

const silentBeforeFirstEvent: RequestListener = (request, response) => {
  sign(request, response);
  setTimeout(() => response.end(event(1) + event(2)), FIRST_EVENT_SILENCE_MS);
};

const silentPlain: RequestListener = (request, response) => {
  sign(request, response);
  setTimeout(() => response.end('read'), PLAIN_SILENCE_MS);
};

const wholeStream = { status: 200, body: event(1) + event(2), isWhole: true };

const settle = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('forwardRequest', () => {
  let fleet: TestGateway;

  async function ask(options: StartTestGatewayOptions) {
    fleet = await startTestGateway(options);
    return fleet.ask('/1');
  }

  afterEach(() => fleet.stop());

  // A sound target falls silent for a second; the target that was to take over
  // does not, and the caller's connection was closed.
  const takeoversThatFail: Readonly<Record<string, RequestListener>> = {
    refuses: refuse,
    'breaks off': breakOff,
    'answers with an error': refuseInside,
    'is silent too': staySilent,
  };
  Object.entries(takeoversThatFail).forEach(([how, other]) => {
    it(`keeps the stream of a silent target when the other target ${how}`, async () => {
      const answer = await ask({ targets: [silentBetweenEvents, other] });
      expect(answer).to.deep.equal(wholeStream);
    });
  });

  it('keeps a stream whose target is silent before its first event when the other target refuses', async () => {
    const answer = await ask({ targets: [silentBeforeFirstEvent, refuse] });
    expect(answer).to.deep.equal(wholeStream);
  });

  it('keeps an idempotent call at a silent target when the other target refuses', async () => {
    const answer = await ask({
      targets: [silentPlain, refuse],
      route: { repeat: 'idempotent', timeoutMs: 2000 },
    });
    expect(answer).to.deep.equal({ status: 200, body: 'read', isWhole: true });
  });

  // A call that a target had refused was answered with 504 or 502, after which its caller may not
  // send it again, although the send after it was still connecting.
  const endsOfTime: Readonly<Record<string, (entry: TestGateway) => void>> = {
    'its time is up': () => undefined,
    'the entry ends': ({ gateway, skip }) => {
      gateway.leave(() => undefined);
      skip(GRACE_MS);
    },
  };
  Object.entries(endsOfTime).forEach(([when, end]) => {
    it(`says that a request has not run that was refused and is not sent again before ${when}`, async () => {
      let connections = 0;
      fleet = await startTestGateway({
        targets: [refuse, refuse],
        route: { repeat: 'atMostOnce', timeoutMs: 300 },
        connectTarget(target) {
          connections += 1;
          if (connections === 1) return connect(target);
          end(fleet);
          return new Socket();
        },
      });
      const { status, isWhole } = await fleet.ask('/1');
      expect({ status, isWhole }).to.deep.equal({ status: 503, isWhole: true });
      expect([connections, fleet.sends.length]).to.deep.equal([2, 1]);
    });
  });

  it('ends the send to a silent target once another target goes on', async () => {
    let openConnections = 1;
    const silentForGood: RequestListener = (request, response) => {
      sign(request, response);
      response.write(event(1));
      request.socket.on('close', () => {
        openConnections -= 1;
      });
    };
    const goOn: RequestListener = (request, response) => {
      sign(request, response);
      response.end(event(2));
    };
    const answer = await ask({ targets: [silentForGood, goOn] });
    expect(answer).to.deep.equal(wholeStream);
    expect(fleet.sends).to.deep.equal([
      { target: 't0', lastEventId: undefined },
      { target: 't1', lastEventId: '1' },
    ]);
    while (openConnections > 0) await settle(5);
  });

  // Two answers must not be joined: only the first that goes on is forwarded.
  it('ends the send to the other target when the silent one goes on first', async () => {
    let openConnections = 1;
    const slow: RequestListener = (request, response) => {
      sign(request, response);
      response.flushHeaders();
      request.socket.on('close', () => {
        openConnections -= 1;
      });
    };
    const answer = await ask({ targets: [silentBetweenEvents, slow] });
    expect(answer).to.deep.equal(wholeStream);
    expect(fleet.sends).to.have.length(2);
    while (openConnections > 0) await settle(5);
  });

  it('ends every open send when the caller disconnects', async () => {
    let openConnections = 0;
    const silentForGood: RequestListener = (request, response) => {
      sign(request, response);
      if (openConnections === 0) response.write(event(1));
      openConnections += 1;
      request.socket.on('close', () => {
        openConnections -= 1;
      });
    };
    fleet = await startTestGateway({ targets: [silentForGood, silentForGood] });
    const caller = connect(fleet.callerPort, '127.0.0.1');
    caller.write(
      'GET /1 HTTP/1.1\r\nHost: api.example\r\nx-request: a1\r\n\r\n',
    );
    while (openConnections < 2) await settle(5);
    caller.destroy();
    while (openConnections > 0) await settle(5);
  });

  it('sends a call that may run at most once to a single target, however silent', async () => {
    const answer = await ask({
      targets: [silentPlain, refuse],
      route: { repeat: 'atMostOnce', timeoutMs: 2000 },
    });
    expect(answer.body).to.equal('read');
    expect(fleet.sends).to.have.length(1);
  });

  it('logs why no target took over from a silent one', async () => {
    await ask({ targets: [silentBetweenEvents] });
    const line = fleet.lines.find((one) => one.includes('"send.silent"'));
    expect(JSON.parse(line ?? '{}')).to.include({
      request: 'a1',
      target: 't0',
      obstacle: 'noTarget',
    });
  });

  // A send that waits for its caller delivers no events either.
  it('does not take a caller that reads slowly for a silent target', async () => {
    const stream = Array.from(
      { length: 300 },
      (_, index) => `id: ${index + 1}\ndata: ${'x'.repeat(64 * 1024)}\n\n`,
    ).join('');
    const writeAll: RequestListener = (request, response) => {
      sign(request, response);
      response.end(stream);
    };
    fleet = await startTestGateway({ targets: [writeAll, writeAll] });
    const caller = connect(fleet.callerPort, '127.0.0.1');
    caller.write(
      'GET /1 HTTP/1.1\r\nHost: api.example\r\nx-request: a1\r\n' +
        'Connection: close\r\n\r\n',
    );
    caller.pause();
    await settle(STREAM_SILENCE_MS);
    const bytes = await new Promise<number>((resolve) => {
      let received = 0;
      caller.on('data', (chunk) => {
        received += chunk.length;
      });
      caller.on('close', () => {
        resolve(received);
      });
      caller.resume();
    });
    expect(bytes).to.be.above(stream.length);
    expect(fleet.sends).to.have.length(1);
  });
});
