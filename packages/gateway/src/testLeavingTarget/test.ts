import { expect } from 'chai';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { GatewayEvent } from '@endivegate/core/forwarding';
import { settle } from '../testFleet/index.ts';
import {
  sign,
  startTestGateway,
  type TestGateway,
} from '../testGateway/index.ts';

/** Longer than the interval at which idle connections to such targets are closed. */
const TICKED_MS = 500;

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;

const answer: RequestListener = (request, response) => {
  sign(request, response);
  response.end(event(1));
};

describe('a target that leaves', () => {
  let entry: TestGateway;

  /** The first target of the entry begins to leave. */
  const leaves: Readonly<Record<string, () => GatewayEvent>> = {
    'it drains': () => listed((targets) => targets.map(drainFirst)),
    'it is not listed any more': () =>
      listed((targets) => targets.filter(({ id }) => id !== 't0')),
    'its data centre is evacuated': () => ({
      type: 'evacuations.reported',
      atMs: 1,
      source: 'peer',
      reports: [
        { dataCentre: 'a', era: 1, revision: 1, isEvacuated: true, ageMs: 0 },
      ],
    }),
  };

  type Listed = Extract<GatewayEvent, { type: 'roster.listed' }>;

  function listed(
    change: (targets: Listed['targets']) => Listed['targets'],
  ): Listed {
    const { targets } = entry.gateway.runtime.state().roster;
    return {
      type: 'roster.listed',
      atMs: 1,
      targets: change([...targets.values()]),
    };
  }

  function drainFirst(target: Listed['targets'][number]): typeof target {
    return { ...target, draining: target.draining || target.id === 't0' };
  }

  afterEach(() => entry.stop());

  Object.entries(leaves).forEach(([how, leave]) => {
    // Guards against streams that are closed with the idle connections of their target.
    it(`ends the streams that it has begun when ${how}`, async () => {
      const open: ServerResponse[] = [];
      entry = await startTestGateway({
        targets: [
          (request, response) => {
            sign(request, response);
            response.write(event(1));
            open.push(response);
          },
          answer,
        ],
        route: { resumable: false, gapTargetMs: 5000 },
      });
      const seen = entry.ask('/');
      while (open.length === 0) await settle(5);
      entry.gateway.runtime.dispatch(leave());
      await settle(TICKED_MS);
      open[0]?.end(event(2));
      expect(await seen).to.deep.equal({
        status: 200,
        body: event(1) + event(2),
        isWhole: true,
      });
      expect((await entry.ask('/')).body).to.equal(event(1));
      expect(entry.sends.map(({ target }) => target)).to.deep.equal([
        't0',
        't1',
      ]);
    });

    // A request whose connection was being opened was still sent to a target that was no longer
    // listed.
    it(`is sent nothing that was chosen for it before ${how}`, async () => {
      entry = await startTestGateway({
        targets: [answer, answer],
        route: { repeat: 'atMostOnce' },
        connectTarget(target) {
          const socket = connect(target);
          entry.gateway.runtime.dispatch(leave());
          return socket;
        },
      });
      expect((await entry.ask('/')).status).to.equal(200);
      expect(entry.sends.map(({ target }) => target)).to.deep.equal(['t1']);
    });
  });
});
