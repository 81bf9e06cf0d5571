import { createServer } from 'node:net';

const HOST = '127.0.0.1';

/** Below the range from which systems take the ports of outgoing connections,
 * so that none of those takes an address between its choice and its use. */
const FIRST_PORT = 20_000;

const PORTS = 10_000;

/** Spreads the choices of test runs that share a machine. */
let next = process.pid % PORTS;

/**
 * Finds a loopback address for a test on which nothing listens.
 *
 * @returns IP and port; each call gives another one.
 *
 * @example
 * startGateway({ ...options, callerAddress: await testAddress() });
 */
export async function testAddress(): Promise<string> {
  next = (next + 1) % PORTS;
  const port = FIRST_PORT + next;
  return (await isFree(port)) ? `${HOST}:${port}` : testAddress();
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
