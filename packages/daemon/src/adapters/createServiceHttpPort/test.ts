import type { ServiceAnswer, ServiceCall } from '@endivegate/contracts';
import {
  startServiceStandIn,
  type ServiceFaults,
  type ServiceStandIn,
} from '@endivegate/stand-ins';
import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createServiceHttpPort, type ServiceHttpPort } from './index.ts';

function callOf(attemptId: string): ServiceCall {
  return {
    attemptId,
    method: 'POST',
    path: '/payouts?circle=7',
    contentType: 'application/json',
    body: Buffer.from('{"member":3}'),
    idempotencyKey: `key-${attemptId}`,
    timeoutMs: 200,
  };
}

describe('createServiceHttpPort', () => {
  let service: ServiceStandIn;
  let port: ServiceHttpPort;

  beforeEach(async () => {
    service = await startServiceStandIn({ faults: { restartAfterMs: 20 } });
    port = createServiceHttpPort();
  });
  afterEach(async () => {
    await port.close();
    await service.close();
  });

  async function errorUnder(
    faults: Partial<ServiceFaults>,
    attemptId: string,
  ): Promise<string> {
    service.setFaults(faults);
    const result = await port.call(service.target, callOf(attemptId))();
    return E.isLeft(result) ? result.left.type : 'answered';
  }

  it('forwards a call and returns the whole response', async () => {
    const result = await port.call(service.target, callOf('a'))();
    const answer = E.getOrElse((): ServiceAnswer | undefined => undefined)(
      result,
    );
    expect(answer?.status).to.equal(200);
    expect(JSON.parse(Buffer.from(answer?.body ?? []).toString())).to.include({
      path: '/payouts?circle=7',
      idempotencyKey: 'key-a',
    });
  });

  it('distinguishes refused, mismatched, truncated, late and unsent calls', async () => {
    const seen = [
      await errorUnder({ refusesAll: true }, 'a'),
      await errorUnder({ refusesAll: false, crossedRate: 1 }, 'b'),
      await errorUnder({ crossedRate: 0, cutRate: 1 }, 'c'),
      await errorUnder({ cutRate: 0, delayMs: 1_000 }, 'd'),
      await errorUnder({ delayMs: 0, crashAfterRate: 1 }, 'e'),
      await errorUnder({}, 'f'),
    ];
    expect(seen).to.deep.equal([
      'refused',
      'crossed',
      'cut',
      'timedOut',
      'cut',
      'notSent',
    ]);
    expect(service.runs().map((run) => run.attemptId)).to.deep.equal([
      'b',
      'c',
      'd',
      'e',
    ]);
  });

  it('times out on a silent connection, and sends the call only once', async () => {
    expect(await errorUnder({ silentRate: 1 }, 'a')).to.equal('timedOut');
    expect(service.runs()).to.have.length(1);
  });

  it('looks up a key before and after its run', async () => {
    const lookUp = async (): Promise<string> => {
      const result = await port.lookUpKey(service.target, 'key-a', 500)();
      return E.isRight(result) ? result.right.type : result.left.type;
    };
    const before = await lookUp();
    service.setFaults({ crashAfterRate: 1, restartAfterMs: 0 });
    await port.call(service.target, callOf('a'))();
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect([before, await lookUp()]).to.deep.equal(['absent', 'done']);
  });
});
