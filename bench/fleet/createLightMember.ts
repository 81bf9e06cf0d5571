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

/** Unix times at which a member first saw another in a state, by entry id. */
export interface Sightings {
  readonly suspect: Map<string, number>;
  readonly dead: Map<string, number>;
  readonly leaving: Map<string, number>;
  /** Times at which tables came into force, by table number. */
  readonly table: Map<string, number>;
}

/** A member that runs only the membership slice, over its UDP transport. */
export interface LightMember {
  readonly address: EntryAddress;
  readonly membership: Membership;
  readonly sightings: Sightings;
  readonly state: () => MembershipState;
  readonly dispatch: (event: LightEvent) => void;
  readonly stop: () => Promise<void>;
}

const TICK_MS = 100;

/** Delay that simulates fetching a table. */
const SIMULATED_FETCH_MS = 50;

/** Starts a member on a free loopback port. */
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
  let requestedNumber = 0;
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
    step.effects.forEach(runEffect);
  }

  function runEffect(effect: MembershipEffect | RaiseEffect): void {
    if (effect.type === 'raise') observe(effect.event);
    else if (effect.type === 'membership.tableNumberReceived')
      install(effect.number);
    else membership.handler(effect, runtime);
  }

  function install(number: number): void {
    if (number <= Math.max(requestedNumber, state.tableNumber)) return;
    requestedNumber = number;
    setTimeout(() => {
      recordFirstSighting(sightings.table, String(number));
      dispatch({ type: 'table.installed', number, rows: [] });
    }, SIMULATED_FETCH_MS);
  }

  function observe(event: SharedEvent): void {
    if (event.type !== 'members.changed') return;
    event.suspected?.forEach((m) => {
      recordFirstSighting(sightings.suspect, m.entryId);
    });
    event.dead.forEach((m) => {
      recordFirstSighting(sightings.dead, m.entryId);
    });
    event.leaving.forEach((m) => {
      recordFirstSighting(sightings.leaving, m.entryId);
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

function recordFirstSighting(map: Map<string, number>, id: string): void {
  if (!map.has(id)) map.set(id, Date.now());
}

function noop(): void {
  return;
}
