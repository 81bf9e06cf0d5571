import { createLightMember, type LightMember } from './createLightMember.ts';
import type { WorkerReply, WorkerCommand, WorkerTotals } from './messages.ts';

/** Size of the IPv4 and UDP headers of a datagram. */
const UDP_IP_HEADER_BYTES = 28;

let members: LightMember[] = [];

process.on('message', (message: WorkerCommand) => {
  void handle(message);
});

async function handle(message: WorkerCommand): Promise<void> {
  switch (message.type) {
    case 'start': {
      const { dataCentres } = message;
      members = await Promise.all(
        message.indexes.map((index) =>
          createLightMember({ index, dataCentres }),
        ),
      );
      reply({ type: 'started', addresses: members.map((m) => m.address) });
      return;
    }
    case 'list':
      members.forEach(({ dispatch, address }) => {
        dispatch({ type: 'entry.started', self: address });
        dispatch({ type: 'membership.listed', entries: message.entries });
        dispatch({ type: 'membership.fetched', updates: [] });
      });
      return;
    case 'measure':
      reply({
        type: 'measured',
        totals: totals(),
        sightings: members.map(({ address, sightings }) => ({
          entryId: address.entryId,
          suspect: [...sightings.suspect],
          dead: [...sightings.dead],
          leaving: [...sightings.leaving],
          table: [...sightings.table],
        })),
      });
      return;
    case 'install': {
      const member = findMember(message.entryId);
      member?.sightings.table.set(String(message.number), Date.now());
      member?.dispatch({
        type: 'table.installed',
        number: message.number,
        rows: [],
      });
      return;
    }
    case 'leave':
      findMember(message.entryId)?.dispatch({ type: 'leaving.requested' });
      return;
    case 'kill': {
      const killed = message.entryIds.flatMap(
        (entryId) => findMember(entryId) ?? [],
      );
      await Promise.all(killed.map((member) => member.stop()));
      members = members.filter((member) => !killed.includes(member));
      return;
    }
  }
}

function findMember(entryId: string): LightMember | undefined {
  return members.find((member) => member.address.entryId === entryId);
}

function totals(): WorkerTotals {
  const counts = members.map((member) => member.membership.counts());
  const sum = (pick: (c: (typeof counts)[number]) => number) =>
    counts.reduce((total, count) => total + pick(count), 0);
  const packets = sum((c) => c.sentPackets + c.receivedPackets);
  const { user, system } = process.cpuUsage();
  const memory = process.memoryUsage();
  return {
    members: members.length,
    packets,
    bytes:
      sum((c) => c.sentBytes + c.receivedBytes) + packets * UDP_IP_HEADER_BYTES,
    cpuMs: (user + system) / 1_000,
    rssBytes: memory.rss,
    heapBytes: memory.heapUsed,
  };
}

function reply(message: WorkerReply): void {
  process.send?.(message);
}
