import type { EntryAddress, Target } from '@endivegate/contracts';
import { expect } from 'chai';
import fc from 'fast-check';
import type { SharedEvent } from '../../../events/index.ts';
import type { RequestInfo } from '../../../request/index.ts';
import {
  KEEP_TURN_AFTER_MS,
  routingSlice,
  type RoutingEffect,
  type RoutingEvent,
  type RoutingState,
} from '../../index.ts';

const CAPACITY_TOKENS = 400_000;
const PREFILL_MS = 30_000;

const entry = (entryId: string): EntryAddress => ({
  entryId,
  incarnation: 1,
  region: 'r',
  dataCentre: 'dc',
  host: '127.0.0.1',
  httpPort: 0,
  peerPort: 0,
});

const engine = (targetId: string): Target => ({
  targetId,
  targetKind: 'engine',
  url: 'http://127.0.0.1:1',
  region: 'r',
  dataCentre: 'dc',
  serves: ['m'],
  kvCapacityTokens: CAPACITY_TOKENS,
  checksFencing: true,
  hasKeyLookup: false,
  leaving: false,
});

const createHugeRequest = (
  requestId: string,
  promptTokens: number,
  atMs: number,
): RequestInfo => ({
  requestId,
  workspace: requestId.slice(0, 1),
  service: 'm',
  kind: 'review',
  promptTokens,
  maxOutputTokens: 100,
  lengthClass: 'huge',
  arrivedAtMs: atMs,
  deadlineAtMs: atMs + 100_000_000,
  priority: 5,
  fingerprint: requestId,
  prefixHashes: [],
  idempotencyKey: undefined,
  repeatable: true,
});

type AnyEvent = SharedEvent | RoutingEvent;
type EventWithoutBase = AnyEvent extends infer T
  ? T extends unknown
    ? Omit<T, 'atMs' | 'random'>
    : never
  : never;

/**
 * Simulates entries that see no other entry, so that each is its own placer.
 */
function createPartitionedEntries(
  engineIds: readonly string[],
  nextFraction: () => number,
) {
  const states = new Map<string, RoutingState>();
  const reservations = new Map<string, Map<string, number>>(
    engineIds.map((id) => [id, new Map()]),
  );
  const pending: { atMs: number; run: () => void }[] = [];
  const ended: string[] = [];
  let nowMs = 0;

  function dispatch(entryId: string, event: EventWithoutBase): void {
    const stamped = { ...event, atMs: nowMs, random: 0.5 } as AnyEvent;
    const state = states.get(entryId) ?? routingSlice.initial;
    const step = routingSlice.reduce(state, stamped);
    states.set(entryId, step.state);
    step.effects.forEach((effect) => {
      if (effect.type !== 'raise') {
        runEffect(entryId, effect);
      } else if (effect.event.type === 'request.dispatched') {
        const { requestId, targetId } = effect.event;
        schedule(PREFILL_MS, () => {
          finish(entryId, requestId, targetId);
        });
      }
    });
  }

  function schedule(delayMs: number, run: () => void): void {
    pending.push({ atMs: nowMs + delayMs, run });
  }

  function finish(entryId: string, requestId: string, targetId: string): void {
    ended.push(requestId);
    const ids = { requestId, attemptId: `${requestId}.1`, targetId };
    dispatch(entryId, { type: 'attempt.firstToken', ...ids });
    dispatch(entryId, {
      type: 'attempt.ended',
      ...ids,
      end: { type: 'done' },
      outputTokens: 1,
      sent: true,
    });
    dispatch(entryId, {
      type: 'request.ended',
      requestId,
      ran: 'yes',
      end: { type: 'answered' },
    });
  }

  function runEffect(entryId: string, effect: RoutingEffect): void {
    if (effect.type === 'routing.freeReservation') {
      reservations.get(effect.targetId)?.delete(effect.reservationId);
    }
    if (effect.type !== 'routing.reserve') return;
    const { requestId, targetId, reservationId, tokens } = effect;
    schedule(1 + nextFraction() * 20, () => {
      const onTarget = reservations.get(targetId) ?? new Map<string, number>();
      const reservedTokens = [...onTarget.values()].reduce(
        (total, one) => total + one,
        0,
      );
      const granted = reservedTokens + tokens <= CAPACITY_TOKENS;
      if (granted) onTarget.set(reservationId, tokens);
      dispatch(entryId, {
        type: 'routing.reserved',
        requestId,
        targetId,
        granted,
      });
    });
  }

  function start(entryId: string): void {
    dispatch(entryId, { type: 'entry.started', self: entry(entryId) });
    dispatch(entryId, {
      type: 'members.changed',
      live: [entry(entryId)],
      leaving: [],
      dead: [],
    });
    dispatch(entryId, {
      type: 'targets.changed',
      targets: engineIds.map(engine),
    });
  }

  function advanceTo(endMs: number): void {
    const entryIds = [...states.keys()];
    for (let tickAtMs = nowMs; tickAtMs <= endMs; tickAtMs += 100) {
      pending.sort((a, b) => a.atMs - b.atMs);
      while (pending[0] && pending[0].atMs <= tickAtMs) {
        const next = pending.shift();
        nowMs = Math.max(nowMs, next?.atMs ?? nowMs);
        next?.run();
        pending.sort((a, b) => a.atMs - b.atMs);
      }
      nowMs = tickAtMs;
      entryIds.forEach((entryId) => {
        dispatch(entryId, { type: 'clock.ticked' });
      });
    }
  }

  return {
    start,
    arrive: (entryId: string, requestId: string, promptTokens: number) => {
      const request = createHugeRequest(requestId, promptTokens, nowMs);
      dispatch(entryId, { type: 'request.arrived', request });
    },
    advanceTo,
    ended,
    countReservations: () =>
      [...reservations.values()].flatMap((held) => [...held.values()]).length,
  };
}

describe('long lane', () => {
  it('does not deadlock when two placing entries reserve memory on the same engines', () => {
    const sizes = fc.array(fc.integer({ min: 410_000, max: 1_000_000 }), {
      minLength: 1,
      maxLength: 3,
    });
    fc.assert(
      fc.property(
        sizes,
        sizes,
        fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true })),
        (sizesAtA, sizesAtB, delays) => {
          const nextFraction = () => Number(delays.next().value);
          const entries = createPartitionedEntries(
            ['e1', 'e2', 'e3'],
            nextFraction,
          );
          ['a', 'b'].forEach(entries.start);
          sizesAtA.forEach((tokens, n) => {
            entries.arrive('a', `a${n}`, tokens);
          });
          sizesAtB.forEach((tokens, n) => {
            entries.arrive('b', `b${n}`, tokens);
          });
          entries.advanceTo(
            (sizesAtA.length + sizesAtB.length + 1) * 2 * PREFILL_MS,
          );
          expect(entries.ended).to.have.length(
            sizesAtA.length + sizesAtB.length,
          );
          expect(entries.countReservations()).to.equal(0);
        },
      ),
      { seed: 5, numRuns: 12 },
    );
  });

  it('starts a prompt that needs several engines within the bound under constant load', () => {
    const entries = createPartitionedEntries(['e1', 'e2', 'e3'], () => 0.5);
    entries.start('a');
    const arriveAll = (round: number) => {
      ['x', 'y', 'z'].forEach((workspace) => {
        entries.arrive('a', `${workspace}${round}`, 150_000);
      });
    };
    arriveAll(0);
    entries.arrive('a', 'wide', 1_000_000);
    Array.from({ length: 20 }, (_, n) => n + 1).forEach((round) => {
      arriveAll(round);
      entries.advanceTo(round * 5_000);
    });
    const boundMs = KEEP_TURN_AFTER_MS + PREFILL_MS;
    entries.advanceTo(boundMs + PREFILL_MS + 1_000);
    expect(entries.ended).to.include('wide');
  });
});
