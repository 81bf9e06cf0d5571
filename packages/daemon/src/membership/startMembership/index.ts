import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { isIPv6 } from 'node:net';
import type {
  HybridTimestamp,
  MembershipEffect,
  RootEffect,
} from '@endivegate/core';
import type { PeerClient } from '../../peers/index.ts';
import type { EffectHandler, Runtime } from '../../runtime/index.ts';
import { decodePacket, encodePacket } from '../encodePacket/index.ts';
import { fromWireUpdate } from '../toWireUpdate/index.ts';

/** The hybrid logical clock whose timestamps are sent in datagrams. */
export interface PacketClock {
  readonly now: () => HybridTimestamp;
  readonly observe: (remote: HybridTimestamp) => void;
}

/** Options of {@link startMembership}. */
export interface StartMembershipOptions {
  readonly host: string;
  /** UDP port; the peer server uses the same number over TCP. */
  readonly peerPort: number;
  /** Key shared by the fleet; datagrams are not signed without it. */
  readonly key?: string | undefined;
  readonly client: Pick<PeerClient, 'fetchMembers'>;
  readonly clock: PacketClock;
  /** Called when a later process runs under this entry's id. */
  readonly onSuperseded?: (incarnation: number) => void;
}

/** Packet and byte counts since the start, without UDP and IP headers. */
export interface PacketCounts {
  readonly sentPackets: number;
  readonly sentBytes: number;
  readonly receivedPackets: number;
  readonly receivedBytes: number;
  /** Packets that were malformed or not signed with the key. */
  readonly droppedPackets: number;
}

/** The transport of the membership protocol. */
export interface Membership {
  readonly port: number;
  /** Runs the effects of the membership slice. */
  readonly handler: EffectHandler;
  /** Starts to dispatch received packets to the runtime. */
  readonly attach: (runtime: Runtime) => void;
  readonly counts: () => PacketCounts;
  readonly close: () => Promise<void>;
}

/**
 * Opens the UDP socket of the membership protocol.
 *
 * @param options - Address, key, peer client, clock and callback.
 * @returns The transport once its socket is bound.
 * @throws If the port cannot be bound.
 *
 * @example
 * const membership = await startMembership({ host, peerPort, client, clock });
 */
export async function startMembership(
  options: StartMembershipOptions,
): Promise<Membership> {
  const socket = await bindSocket(options.host, options.peerPort);
  const counts = {
    sentPackets: 0,
    sentBytes: 0,
    receivedPackets: 0,
    receivedBytes: 0,
    droppedPackets: 0,
  };

  function send(
    effect: Extract<MembershipEffect, { type: 'membership.send' }>,
  ) {
    const timestamp = options.clock.now();
    const datagram = encodePacket(
      { packet: effect.packet, timestamp },
      options.key,
    );
    counts.sentPackets += 1;
    counts.sentBytes += datagram.length;
    // A datagram that cannot be sent is treated as lost.
    socket.send(datagram, effect.to.peerPort, effect.to.host, () => undefined);
  }

  return {
    port: socket.address().port,
    handler: (effect, runtime) => {
      runEffect(effect, { runtime, send, options });
    },
    attach: (runtime) => {
      socket.on('message', (datagram, { address, port }) => {
        const timed = decodePacket(datagram, options.key);
        if (!timed) {
          counts.droppedPackets += 1;
          return;
        }
        counts.receivedPackets += 1;
        counts.receivedBytes += datagram.length;
        options.clock.observe(timed.timestamp);
        runtime.dispatch({
          type: 'membership.received',
          packet: timed.packet,
          from: { host: address, peerPort: port },
        });
      });
    },
    counts: () => ({ ...counts }),
    close: () =>
      new Promise((resolve) => {
        socket.close(resolve);
      }),
  };
}

async function bindSocket(host: string, port: number): Promise<Socket> {
  const socket = createSocket(isIPv6(host) ? 'udp6' : 'udp4');
  socket.bind(port, host);
  await once(socket, 'listening');
  // An error of a single datagram, such as an unreachable host, is a packet loss.
  socket.on('error', () => undefined);
  return socket;
}

function runEffect(
  effect: RootEffect,
  context: {
    readonly runtime: Runtime;
    readonly send: (
      effect: Extract<MembershipEffect, { type: 'membership.send' }>,
    ) => void;
    readonly options: StartMembershipOptions;
  },
): void {
  const { runtime, send, options } = context;
  switch (effect.type) {
    case 'membership.send':
      send(effect);
      return;
    case 'membership.fetch':
      void fetchMembers(effect.from, context);
      return;
    case 'membership.tableNumberReceived':
      runtime.dispatch({
        type: 'table.numberReported',
        number: effect.number,
        fromEntryId: effect.from.entryId,
      });
      return;
    case 'membership.superseded':
      options.onSuperseded?.(effect.incarnation);
      return;
    default:
  }
}

async function fetchMembers(
  from: { readonly host: string; readonly peerPort: number },
  context: {
    readonly runtime: Runtime;
    readonly options: StartMembershipOptions;
  },
): Promise<void> {
  const reply = await context.options.client.fetchMembers(from)();
  if (reply._tag === 'Left') return;
  const updates = reply.right.flatMap((wire) => fromWireUpdate(wire) ?? []);
  context.runtime.dispatch({ type: 'membership.fetched', updates });
}
