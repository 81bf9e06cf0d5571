import { expect } from 'chai';
import { Socket } from 'node:net';
import {
  type ConnectionLimit,
  type ConnectionPhase,
  createConnectionLimit,
} from './index.ts';

describe('createConnectionLimit', () => {
  let limit: ConnectionLimit;
  let sockets: Socket[] = [];

  beforeEach(() => {
    limit = createConnectionLimit({ maxConnections: 3 });
    sockets = [];
  });

  function add(phase: ConnectionPhase): void {
    const socket = new Socket();
    sockets.push(socket);
    limit.add(socket);
    limit.setPhase(socket, phase);
  }

  /** Lists the connections that were closed, by number. */
  function closed(): readonly number[] {
    return sockets.flatMap((socket, index) =>
      socket.destroyed ? [index] : [],
    );
  }

  // Guards against idle connections that keep new callers out.
  it('closes the connection that has been idle for the longest', () => {
    add('serving');
    add('idle');
    add('idle');
    add('reading');
    expect(closed()).to.deep.equal([1]);
  });

  // Guards against incomplete requests that keep new callers out.
  it('closes the request that has been incomplete for the longest', () => {
    add('reading');
    add('serving');
    add('reading');
    add('reading');
    expect(closed()).to.deep.equal([0]);
  });

  // Guards against open requests that are cut off for new ones.
  it('closes a new connection while all others are served', () => {
    add('serving');
    add('serving');
    add('serving');
    add('idle');
    expect(closed()).to.deep.equal([3]);
  });
});
