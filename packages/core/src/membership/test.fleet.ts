import type { EntryAddress } from '@endivegate/contracts';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { SharedEvent } from '../events/index.ts';
import {
  membershipSlice,
  type MembershipEvent,
  type MembershipPacket,
  type MembershipState,
} from './index.ts';

type MembersChanged = Extract<SharedEvent, { type: 'members.changed' }>;

/** Options of {@link createTestFleet}. */
export interface TestFleetOptions {
  readonly size: number;
  readonly dataCentres?: number;
  readonly seed?: number;
  /** Fraction of packets lost, 0 to 1. */
  readonly loss?: number;
  readonly latencyMs?: number;
}

/** A member driven by the fake clock. */
export interface TestMember {
  readonly address: EntryAddress;
  state: MembershipState;
  view: MembersChanged | undefined;
  paused: boolean;
  receivedTableNumber: number;
  /** Time at which each entry was first seen as dead, by entry id. */
  readonly deaths: Map<string, number>;
  /** Time at which each entry was first seen as suspect, by entry id. */
  readonly suspects: Map<string, number>;
}

interface PacketInFlight {
  readonly deliverAtMs: number;
  readonly from: EntryAddress;
  readonly to: number;
  readonly packet: MembershipPacket;
}

/** Membership reducers that exchange packets under a fake clock. */
export interface TestFleet {
  readonly members: readonly TestMember[];
  readonly nowMs: () => number;
  readonly run: (forMs: number) => void;
  readonly dispatch: (index: number, event: UnstampedEvent) => void;
  /** Whether the network drops a packet, in addition to random loss. */
  cut: (from: EntryAddress, to: EntryAddress) => boolean;
  readonly member: (index: number) => TestMember;
  /** Number of packets sent so far by all members. */
  readonly packets: () => number;
}

type Unstamped<T> = T extends unknown ? Omit<T, 'atMs' | 'random'> : never;
type UnstampedEvent = Unstamped<MembershipEvent | SharedEvent>;

const TICK_MS = 100;
const STEP_MS = 10;

/** Creates a fleet whose members know each other from the instance list. */
export function createTestFleet(options: TestFleetOptions): TestFleet {
  const { size, dataCentres = 3, loss = 0, latencyMs = 10 } = options;
  const generator = xoroshiro128plus(options.seed ?? 1);
  const random = (): number => uniformFloat64(generator);
  const addresses = Array.from({ length: size }, (_, index) =>
    testAddress(index, dataCentres),
  );
  const members = addresses.map<TestMember>((address) => ({
    address,
    state: membershipSlice.initial,
    view: undefined,
    paused: false,
    receivedTableNumber: 0,
    deaths: new Map(),
    suspects: new Map(),
  }));
  let nowMs = 0;
  let packets = 0;
  let inFlight: PacketInFlight[] = [];

  const fleet: TestFleet = {
    members,
    nowMs: () => nowMs,
    cut: () => false,
    run,
    dispatch,
    packets: () => packets,
    member: (index) => {
      const member = members[index];
      if (!member) throw new Error(`no member ${index}`);
      return member;
    },
  };

  function dispatch(index: number, unstamped: UnstampedEvent): void {
    const member = fleet.member(index);
    const event = { ...unstamped, atMs: nowMs, random: random() } as
      MembershipEvent | SharedEvent;
    const step = membershipSlice.reduce(member.state, event);
    member.state = step.state;
    step.effects.forEach((effect) => {
      if (effect.type === 'membership.send') {
        packets += 1;
        if (random() < loss) return;
        inFlight.push({
          deliverAtMs: nowMs + latencyMs,
          from: member.address,
          to: effect.to.peerPort,
          packet: effect.packet,
        });
      } else if (effect.type === 'membership.tableNumberReceived') {
        member.receivedTableNumber = Math.max(
          member.receivedTableNumber,
          effect.number,
        );
      } else if (effect.type === 'raise') {
        observe(member, effect.event);
      }
    });
  }

  function observe(member: TestMember, event: SharedEvent): void {
    if (event.type !== 'members.changed') return;
    member.view = event;
    event.dead.forEach(({ entryId }) => {
      if (!member.deaths.has(entryId)) member.deaths.set(entryId, nowMs);
    });
    event.suspected?.forEach(({ entryId }) => {
      if (!member.suspects.has(entryId)) member.suspects.set(entryId, nowMs);
    });
  }

  function run(forMs: number): void {
    const endAtMs = nowMs + forMs;
    while (nowMs < endAtMs) {
      nowMs += STEP_MS;
      deliver();
      members.forEach((member, index) => {
        const phaseMs = (index * STEP_MS) % TICK_MS;
        if (member.paused || nowMs % TICK_MS !== phaseMs) return;
        dispatch(index, { type: 'clock.ticked' });
      });
    }
  }

  function deliver(): void {
    const due = inFlight.filter(({ deliverAtMs }) => deliverAtMs <= nowMs);
    if (due.length === 0) return;
    inFlight = inFlight.filter(({ deliverAtMs }) => deliverAtMs > nowMs);
    due.forEach(({ from, to, packet }) => {
      const receiver = fleet.member(to);
      if (receiver.paused || fleet.cut(from, receiver.address)) return;
      dispatch(to, { type: 'membership.received', packet, from });
    });
  }

  const entries = addresses.map((address) => ({ ...address, leaving: false }));
  addresses.forEach((self, index) => {
    dispatch(index, { type: 'entry.started', self });
    dispatch(index, { type: 'membership.listed', entries });
    dispatch(index, { type: 'membership.fetched', updates: [] });
  });
  return fleet;
}

/** Returns the address of the member at an index; the peer port is the index. */
export function testAddress(index: number, dataCentres = 3): EntryAddress {
  const dataCentre = index % dataCentres;
  return {
    entryId: `e${index}`,
    incarnation: 1,
    region: dataCentre < dataCentres / 2 ? 'north' : 'south',
    dataCentre: `dc${dataCentre}`,
    host: '127.0.0.1',
    httpPort: 1,
    peerPort: index,
  };
}
