import type { EntryAddress } from '@endivegate/contracts';
import {
  membershipSlice,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
  type RaiseEffect,
  type SharedEvent,
} from '@endivegate/core';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { startMembership, type Membership } from '@endivegate/daemon';
import type { Runtime } from '@endivegate/daemon';

type Unstamped<T> = T extends unknown ? Omit<T, 'atMs' | 'random'> : never;
type LightEvent = Unstamped<MembershipEvent | SharedEvent>;

/** When a member first saw something, by entry id, in wall-clock time. */
export interface Sightings {
  readonly suspect: Map<string, number>;
  readonly dead: Map<string, number>;
  readonly leaving: Map<string, number>;
  /** When each table number came into force. */
  readonly table: Map<string, number>;
}

/** A member that runs only the membership slice, over the real transport. */
export interface LightMember {
  readonly address: EntryAddress;
  readonly membership: Membership;
  readonly sightings: Sightings;
  readonly state: () => MembershipState;
  readonly dispatch: (event: LightEvent) => void;
  readonly stop: () => Promise<void>;
}

const TICK_MS = 100;

/** Time that a light member takes to fetch a table, in place of a real fetch. */
const FETCH_MS = 50;

/** Starts a member on any free loopback port. */
export async function createLightMember(options: {
  readonly index: number;
  readonly dataCentres: number;
}): Promise<LightMember> {
  const { index, dataCentres } = options;
  const membership = await startMembership({
    host: '127.0.0.1',
    peerPort: 0,
    key: 'bench',
    clock: { now: () => ({ wallMs: Date.now(), counter: 0 }), observe: noop },
    client: { fetchMembers: () => TE.right([]) },
  });
  const dataCentre = index % dataCentres;
  const address: EntryAddress = {
    entryId: `entry-${String(index).padStart(3, '0')}`,
    incarnation: Date.now(),
    region: dataCentre < dataCentres / 2 ? 'region-a' : 'region-b',
    dataCentre: `centre-${dataCentre}`,
    host: '127.0.0.1',
    httpPort: 8080,
    peerPort: membership.port,
  };
  const sightings: Sightings = {
    suspect: new Map(),
    dead: new Map(),
    leaving: new Map(),
    table: new Map(),
  };
  let state = membershipSlice.initial;
  let wanted = 0;
  let isStopped = false;

  function dispatch(unstamped: LightEvent): void {
    if (isStopped) return;
    const event = {
      ...unstamped,
      atMs: performance.now(),
      random: Math.random(),
    } as MembershipEvent | SharedEvent;
    const step = membershipSlice.reduce(state, event);
    state = step.state;
    step.effects.forEach(run);
  }

  function run(effect: MembershipEffect | RaiseEffect): void {
    if (effect.type === 'raise') observe(effect.event);
    else if (effect.type === 'membership.tableSeen') install(effect.number);
    else membership.handler(effect, runtime);
  }

  function install(number: number): void {
    if (number <= Math.max(wanted, state.tableNumber)) return;
    wanted = number;
    setTimeout(() => {
      see(sightings.table, String(number));
      dispatch({ type: 'table.installed', number, rows: [] });
    }, FETCH_MS);
  }

  function observe(event: SharedEvent): void {
    if (event.type !== 'members.changed') return;
    event.suspected?.forEach((m) => {
      see(sightings.suspect, m.entryId);
    });
    event.dead.forEach((m) => {
      see(sightings.dead, m.entryId);
    });
    event.leaving.forEach((m) => {
      see(sightings.leaving, m.entryId);
    });
  }

  const runtime = { dispatch } as unknown as Runtime;
  membership.attach(runtime);
  const ticks = setInterval(() => {
    dispatch({ type: 'clock.ticked' });
  }, TICK_MS);

  return {
    address,
    membership,
    sightings,
    state: () => state,
    dispatch,
    stop: async () => {
      isStopped = true;
      clearInterval(ticks);
      await membership.close();
    },
  };
}

function see(map: Map<string, number>, id: string): void {
  if (!map.has(id)) map.set(id, Date.now());
}

function noop(): void {
  return;
}
