import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import {
  sign,
  startTestGateway,
  type TestAnswer,
  type TestGateway,
} from '../testGateway/index.ts';

/** Names of the metrics that are functions of an entry's requests. */
type Recorder = 'answered' | 'sent' | 'ended';

/** What a caller gets of a connection that is closed without an answer. */
const CLOSED: TestAnswer = { status: 0, body: '', isWhole: false };

const LOG_INTERVAL_MS = 10;

const plain: RequestListener = (request, response) => {
  sign(request, response);
  response.end('whole');
};

const stream: RequestListener = (request, response) => {
  sign(request, response);
  response.end('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
};

describe('an error in the handling of a request', () => {
  let entry: TestGateway;

  afterEach(() => entry.stop());

  /** Lets a metric throw once, as any statement of the handler might. */
  function throwOnceAt(name: Recorder): void {
    const { metrics } = entry;
    const record = metrics[name];
    const throwing: GatewayMetrics[Recorder] = () => {
      Object.assign(metrics, { [name]: record });
      throw new Error(`error in ${name}`);
    };
    Object.assign(metrics, { [name]: throwing });
  }

  /** Lists the lines of an event, which are written in bursts. */
  async function linesOf(event: string): Promise<readonly string[]> {
    const found = entry.lines.filter((line) => line.includes(`"${event}"`));
    if (found.length > 0) return found;
    await new Promise((resolve) => setTimeout(resolve, LOG_INTERVAL_MS));
    return linesOf(event);
  }

  /** Sends a request that fails at a metric, and then one that does not. */
  async function askAt(name: Recorder): Promise<readonly TestAnswer[]> {
    throwOnceAt(name);
    const failed = await entry
      .ask('/x', { 'x-request': 'a1' })
      .catch(() => CLOSED);
    const next = await entry.ask('/x', { 'x-request': 'a2' });
    const errors = (await linesOf('unexpectedError')).join();
    expect(errors).to.include('a1').and.include(`error in ${name}`);
    expect(entry.gateway.runtime.state().load.flights).to.deep.equal(new Map());
    return [failed, next];
  }

  const brokenOff = {
    status: 502,
    body: '{"error":"the target broke off; the request may have run"}',
    isWhole: true,
  };

  (['answered', 'sent', 'ended'] as const).forEach((name) => {
    // Guards against a request without any answer, and what it holds, after an error.
    it(`ends a call at once: ${name}`, async () => {
      const route = { repeat: 'idempotent' } as const;
      entry = await startTestGateway({ targets: [plain], route });
      expect(await askAt(name)).to.deep.equal([
        brokenOff,
        { status: 200, body: 'whole', isWhole: true },
      ]);
    });
  });

  // Guards against a stream that is open for ever, and one that looks complete.
  it('truncates a stream that has begun', async () => {
    entry = await startTestGateway({ targets: [stream] });
    const [failed, next] = await askAt('answered');
    expect(failed?.isWhole).to.equal(false);
    expect(next?.isWhole).to.equal(true);
  });

  // Guards against a connection without any answer after an error before a request is
  // forwarded.
  it('ends a request that is refused', async () => {
    entry = await startTestGateway({ targets: [plain] });
    throwOnceAt('ended');
    const refused = await entry.ask('/x', { host: 'unknown.example' });
    expect(refused).to.deep.include({ status: 502, isWhole: true });
  });
});
