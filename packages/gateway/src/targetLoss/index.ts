import {
  type CheckResult,
  isCheckDue,
  type LossEvidence,
  type LossFact,
  lossOf,
  type MemoryUse,
  noteCheck,
  noteStanding,
  peerStanding,
  type ProcessStanding,
  processKey,
  servingPeers,
  targetStanding,
} from '@endivegate/core/forwarding';
import type { ForwardingService } from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import type { OrderPort, OrderTarget } from '../orderPort/index.ts';
import type { SendDestination, SendPlan } from '../planSend/index.ts';
import { probeAddress } from '../probeAddress/index.ts';
import { probeOthers } from '../probeOthers/index.ts';

/**
 * Asks a process whether it is alive, over a new connection and without waiting for the
 * requests that it serves.
 */
export type CheckTarget = (
  target: SendDestination,
  service: ForwardingService,
) => Promise<CheckResult>;

/**
 * Creates a check that opens a connection. A host that refuses it is alive, and so may be
 * a process that has stopped listening to finish its requests.
 *
 * @param probe - Opens the connection.
 * @returns The check.
 *
 * @example
 * await checkByConnecting()(target, service); // 'alive'
 */
export function checkByConnecting(
  probe: typeof probeAddress = probeAddress,
): CheckTarget {
  return ({ address }) =>
    new Promise((resolve) => {
      probe(address, (result) => {
        resolve(result === 'unreachable' ? 'unanswered' : 'alive');
      });
    });
}

/** Memory at other targets. */
export interface HeldReservation {
  readonly id: string;
  readonly holders: readonly OrderTarget[];
}

/** A request that a target, or a peer, may be working on. */
export interface WatchedSend {
  readonly requestId: string;
  readonly plan: Pick<SendPlan, 'target' | 'isRelay'>;
  readonly service: ForwardingService;
  /** Memory that is set aside for it; undefined if there is none. */
  readonly reservation: HeldReservation | undefined;
  /** Time since something was received; 0 while this entry does not read. */
  readonly silenceMs: () => number;
  /** Called once if the process has ended. */
  readonly onLost: (fact: LossFact) => void;
}

/** Finds sends whose process has ended without closing the connection. */
export interface TargetLoss {
  /** Watches a send; returns a function that stops it. */
  readonly watch: (send: WatchedSend) => () => void;
  /** Looks for processes that have ended; called regularly. */
  readonly tick: () => void;
}

/** Options of {@link createTargetLoss}. */
export interface CreateTargetLossOptions {
  readonly runtime: Pick<GatewayRuntime, 'state' | 'onEffect'>;
  readonly log: EventLog;
  /** Monotonic time in ms. */
  readonly now: () => number;
  /** {@link checkByConnecting} by default. */
  readonly checkTarget?: CheckTarget;
  readonly orders: Pick<OrderPort, 'isInUse'>;
  readonly probe?: typeof probeAddress;
}

/**
 * Creates the search for sends whose process has ended. A host that loses power closes no
 * connection, so that a send to it would stay open, and hold what it uses at other
 * targets, until its time is up.
 *
 * @param options - State and log of the gateway, and how to check a target.
 * @returns The search, with one check at a time for each process.
 *
 * @example
 * const stop = createTargetLoss({ runtime, log, now }).watch(send);
 */
export function createTargetLoss(options: CreateTargetLossOptions): TargetLoss {
  const { runtime, log, now, orders, probe = probeAddress } = options;
  const checkPeer = checkByConnecting(probe);
  const { checkTarget = checkPeer } = options;
  const sends = new Map<string, Set<WatchedSend>>();
  const evidenceOf = new Map<string, LossEvidence>();
  const memoryOf = new WeakMap<WatchedSend, MemoryUse>();
  const checking = new Set<string>();
  let pending: NodeJS.Immediate | undefined;

  runtime.onEffect((effect) => {
    const isChange =
      effect.type === 'roster.changed' || effect.type === 'peers.changed';
    if (isChange && sends.size > 0) tick();
  });

  /** Timers run before sockets are read: what has arrived meanwhile comes first. */
  function tick(): void {
    pending ??= setImmediate(() => {
      pending = undefined;
      [...sends].forEach(([key, watched]) => {
        examine(key, [...watched]);
      });
    });
  }

  function examine(key: string, watched: readonly WatchedSend[]): void {
    const [first] = watched;
    if (first === undefined) return;
    const nowMs = now();
    const evidence = noteStanding(
      evidenceOf.get(key),
      standingOf(first, nowMs),
      nowMs,
    );
    evidenceOf.set(key, evidence);
    watched.forEach((send) => {
      const silenceMs = send.silenceMs();
      const memory = memoryOf.get(send) ?? 'unknown';
      const fact = lossOf(evidence, { nowMs, silenceMs, memory });
      if (fact !== undefined) giveUp(key, send, fact);
    });
    const isDue = [...(sends.get(key) ?? [])].some((send) => {
      const holdsMemory = send.reservation !== undefined;
      const silenceMs = send.silenceMs();
      return isCheckDue(evidence, { nowMs, silenceMs, holdsMemory });
    });
    if (isDue) check(key, first);
  }

  function standingOf({ plan }: WatchedSend, nowMs: number): ProcessStanding {
    const { roster, peers } = runtime.state();
    return plan.isRelay
      ? peerStanding(peers, plan.target, nowMs)
      : targetStanding(roster, plan.target);
  }

  function check(key: string, send: WatchedSend): void {
    if (checking.has(key)) return;
    checking.add(key);
    const startedAtMs = now();
    const { target, isRelay } = send.plan;
    const checkProcess = isRelay ? checkPeer : checkTarget;
    const end = (result: CheckResult, hasPath: boolean): void => {
      checking.delete(key);
      const known = evidenceOf.get(key);
      if (known === undefined) return;
      const times = { startedAtMs, endedAtMs: now() };
      evidenceOf.set(key, noteCheck(known, { result, hasPath, ...times }));
      const isDoubtful = result === 'unanswered' && hasPath;
      if (isDoubtful && known.standing === 'listed') askHolders(key);
      tick();
    };
    const checked = checkProcess(target, send.service);
    void checked.catch(assumeAlive).then((result) => {
      if (result !== 'unanswered') end(result, true);
      else if (isRelay) end(result, hearsOtherPeers(target));
      else {
        const done = (reaches = reachesTargets()): void => {
          end(result, reaches);
        };
        probeOthers(target.id, done, { runtime, probe });
      }
    });
  }

  /** Asks where a silent process has memory whether it still uses it. */
  function askHolders(key: string): void {
    sends.get(key)?.forEach((send) => {
      const { reservation } = send;
      if (reservation === undefined) return;
      const { id, holders } = reservation;
      const asked = holders.map((holder) => orders.isInUse(holder, id)());
      void Promise.all(asked).then((answers) => {
        memoryOf.set(send, memoryUse(answers));
        tick();
      });
    });
  }

  function reachesTargets(): boolean {
    return runtime.state().targetReach.phase === 'reaching';
  }

  function hearsOtherPeers({ id }: SendDestination): boolean {
    const { peers } = runtime.state();
    const others = [...peers.keys()].filter((name) => name !== id);
    return (
      others.length === 0 ||
      servingPeers(peers, now()).some(({ name }) => name !== id)
    );
  }

  function giveUp(key: string, send: WatchedSend, fact: LossFact): void {
    const evidence = evidenceOf.get(key);
    log.warn('send.targetLost', {
      request: send.requestId,
      target: send.plan.target.id,
      fact,
      factAgeMs: Math.round(now() - (evidence?.sinceMs ?? now())),
      silentMs: Math.round(send.silenceMs()),
      unanswered: evidence?.unanswered,
    });
    remove(key, send);
    send.onLost(fact);
  }

  function remove(key: string, send: WatchedSend): void {
    const watched = sends.get(key);
    watched?.delete(send);
    if (watched?.size !== 0) return;
    sends.delete(key);
    evidenceOf.delete(key);
  }

  return {
    tick,
    watch(send) {
      const { target, isRelay } = send.plan;
      const key = `${isRelay ? 'peer' : 'target'} ${processKey(target)}`;
      const watched = sends.get(key) ?? new Set();
      sends.set(key, watched.add(send));
      return () => {
        remove(key, send);
      };
    },
  };
}

/** A check that fails on this side says nothing about the process. */
function assumeAlive(): CheckResult {
  return 'alive';
}

/** What holders say of the memory of a send. One that does not answer has lost power, as
 * its memory has, or cannot be reached. */
function memoryUse(answers: readonly E.Either<unknown, boolean>[]): MemoryUse {
  const known = answers.filter(E.isRight).map(({ right }) => right);
  if (known.length === 0) return 'unknown';
  return known.includes(true) ? 'used' : 'unused';
}
