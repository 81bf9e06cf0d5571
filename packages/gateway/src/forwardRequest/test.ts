import { expect } from 'chai';
import type { RequestListener } from 'node:http';
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
});
