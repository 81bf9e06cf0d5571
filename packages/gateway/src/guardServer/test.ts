import { expect } from 'chai';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { guardServer } from './index.ts';

describe('guardServer', () => {
  let server: Server;
  let sockets: Socket[] = [];

  beforeEach(async () => {
    sockets = [];
    server = createServer((_request, response) => response.end('fine'));
    guardServer(server, { maxConnections: 2 }).listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  function open(): Socket {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    return socket;
  }

  // Guards against bodies without end at a port that expects none.
  it('answers a request with a body, and closes its connection', async () => {
    const socket = open();
    let received = '';
    socket.on('data', (bytes: Buffer) => (received += bytes.toString()));
    socket.write(
      'GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n',
    );
    const writing = setInterval(() => socket.write('1\r\nx\r\n'), 1);
    await once(socket, 'end');
    clearInterval(writing);
    expect(received)
      .to.match(/fine$/)
      .and.match(/^HTTP\/1.1 200 /);
  });

  // Guards against connections that keep others out.
  it('closes the connection that was opened first for a new one', async () => {
    const first = open().resume();
    await once(first, 'connect');
    open();
    open();
    await once(first, 'close');
    const [, second] = sockets;
    expect(second?.destroyed).to.equal(false);
  });
});
