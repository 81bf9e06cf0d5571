import { connect } from 'node:net';
import type { Connect } from '../createConnectionPool/index.ts';

/**
 * What a new connection found: a process that accepts, none that listens, or no
 * path to the host.
 */
export type ProbeResult = 'accepted' | 'refused' | 'unreachable';

/** Time to connect, after which the path counts as cut. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Opens a connection to find out whether a process still listens, and closes it.
 *
 * @param address - IP and port.
 * @param done - Called once with the result.
 * @param connectSocket - Opens the connection.
 *
 * @example
 * probeAddress('10.2.64.3:8080', (result) => log.info('probe', { result }));
 */
export function probeAddress(
  address: string,
  done: (result: ProbeResult) => void,
  connectSocket: Connect = connect,
): void {
  const [host = '', port = ''] = address.split(':');
  const socket = connectSocket({ host, port: Number(port) });
  let isOver = false;
  const finish = (result: ProbeResult): void => {
    if (isOver) return;
    isOver = true;
    socket.destroy();
    done(result);
  };
  socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
    finish('unreachable');
  });
  socket.once('connect', () => {
    finish('accepted');
  });
  socket.on('error', (error: NodeJS.ErrnoException) => {
    finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unreachable');
  });
}
