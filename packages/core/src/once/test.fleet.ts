import type { EntryAddress, Target } from '@endivegate/contracts';
import type { HistoryEvent } from '../checkHistory/index.ts';
import { createReduce, initialStateOf } from '../createReduce/index.ts';
import type { AttemptEnd, RequestEvent, SharedEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import { requestsSlice, type RequestsEffect } from '../requests/index.ts';
import type { RaiseEffect } from '../slice/index.ts';
import type { Step } from '../step/index.ts';
import {
  onceSlice,
  type FoundClaim,
  type OnceEffect,
  type OnceEvent,
} from './index.ts';

const slices = { requests: requestsSlice, once: onceSlice };
type State = ReturnType<typeof initialStateOf>;
type Event = SharedEvent | OnceEvent;
type Effect = RequestsEffect | OnceEffect | RaiseEffect;
type Unstamped<T> = T extends unknown ? Omit<T, 'atMs' | 'random'> : never;
const reduce = createReduce<State, Event, Effect>(slices);

/** Longest time for which a sent message stays in transit. */
const MAX_MESSAGE_DELAY_MS = 9_000;
const TIMEOUT_MS = 8_000;
const MAX_SETTLE_TICKS = 700;

/** Time from the last activity to the end of a history. */
export const SETTLED_MS = 10_000_000;

interface Process {
  readonly entryId: string;
  incarnation: number;
  state: State;
  paused: boolean;
  inbox: Unstamped<Event>[];
}

interface StoreCall {
  readonly process: Process;
  readonly incarnation: number;
  readonly effect: Extract<OnceEffect, { type: 'once.put' | 'once.read' }>;
}

interface Message {
  readonly process: Process;
  readonly incarnation: number;
  readonly attemptId: string;
  readonly requestId: string;
  readonly bodyId: string;
  readonly sentAtMs: number;
  answered: boolean;
}

/** An action; the number selects the process, call or message it applies to. */
export type Action = readonly [kind: (typeof ACTIONS)[number], pick: number];

/** All kinds of actions. */
export const ACTIONS = [
  'call',
  'callOtherBody',
  'callerGone',
  'storeServes',
  'storeLosesReply',
  'storeDelays',
  'storeRefuses',
  'serviceAnswers',
  'serviceCrashesAfterRun',
  'serviceGoesSilent',
  'connectionCut',
  'serviceRefuses',
  'lookupServes',
  'lookupFails',
  'wait100',
  'wait3000',
  'wait15000',
  'pause',
  'crash',
  'declareDead',
] as const;

/**
 * Simulates three entries with the requests and once slices, a store and a
 * service, and records the history of their calls.
 */
export function createFleet(options: { readonly hasKeyLookup: boolean }) {
  const history: HistoryEvent[] = [];
  const claims = new Map<string, FoundClaim & { changedAtMs: number }>();
  const answersByKey = new Map<string, string>();
  const storeCalls: StoreCall[] = [];
  let messages: Message[] = [];
  const lookups: {
    process: Process;
    incarnation: number;
    effect: OnceEffect;
  }[] = [];
  let nowMs = 0;
  let callCount = 0;
  const processes = ['a', 'b', 'c'].map((entryId): Process => ({
    entryId,
    incarnation: 1,
    state: initialStateOf(slices),
    paused: false,
    inbox: [],
  }));
  const serviceTarget = {
    targetId: 's1',
    targetKind: 'service',
    hasKeyLookup: options.hasKeyLookup,
  } as Target;

  function deliverEvent(process: Process, event: Unstamped<Event>): void {
    if (process.paused) {
      process.inbox.push(event);
      return;
    }
    const stamped = { ...event, atMs: nowMs, random: 0.5 } as Event;
    const step: Step<State, Effect> = reduce(process.state, stamped);
    process.state = step.state;
    step.effects.forEach((effect) => {
      runEffect(process, effect);
    });
  }

  function runEffect(process: Process, effect: Effect): void {
    const { incarnation } = process;
    switch (effect.type) {
      case 'once.put':
      case 'once.read':
        storeCalls.push({ process, incarnation, effect });
        return;
      case 'once.lookUp':
        lookups.push({ process, incarnation, effect });
        return;
      case 'requests.send':
        messages.push({
          process,
          incarnation,
          attemptId: effect.attemptId,
          requestId: effect.requestId,
          bodyId: bodyOf.get(effect.requestId) ?? '',
          sentAtMs: nowMs,
          answered: false,
        });
        return;
      case 'requests.replayStored':
        answers.set(
          effect.requestId,
          Buffer.from(effect.answer.bodyBase64, 'base64').toString(),
        );
        return;
      case 'requests.finish':
        history.push({
          type: 'caller.ended',
          atMs: nowMs,
          callId: effect.requestId,
          requestId: effect.requestId,
          ran: effect.ran,
          outcome: effect.end.type,
          answer: answers.get(effect.requestId),
        });
        return;
      case 'raise':
        if (effect.event.type === 'request.retryWanted') {
          dispatch(process, effect.event.requestId);
        }
        return;
      default:
    }
  }

  const answers = new Map<string, string>();
  const bodyOf = new Map<string, string>();
  const entryOf = new Map<string, Process>();

  function dispatch(process: Process, requestId: string): void {
    deliverEvent(process, {
      type: 'request.dispatched',
      requestId,
      targetId: 's1',
      reservationId: undefined,
    });
  }

  function call(process: Process, bodyId: string): void {
    callCount += 1;
    const requestId = `${process.entryId}${callCount}`;
    bodyOf.set(requestId, bodyId);
    entryOf.set(requestId, process);
    const request = {
      requestId,
      workspace: 'w',
      service: 'ledger',
      kind: 'payout',
      deadlineAtMs: nowMs + TIMEOUT_MS,
      fingerprint: bodyId,
      idempotencyKey: 'k',
      repeatable: false,
    } as RequestInfo;
    history.push({
      type: 'caller.sent',
      atMs: nowMs,
      callId: requestId,
      bodyId,
      workspace: 'w',
      idempotencyKey: 'k',
      timeoutMs: TIMEOUT_MS,
    });
    deliverEvent(process, { type: 'request.received', request });
    dispatch(process, requestId);
  }

  function removeAt<T>(items: T[], pick: number): T | undefined {
    return items.length === 0
      ? undefined
      : items.splice(pick % items.length, 1)[0];
  }

  function isSameIncarnation(of: {
    process: Process;
    incarnation: number;
  }): boolean {
    return of.process.incarnation === of.incarnation;
  }

  function replyPut(
    storeCall: StoreCall,
    result: Extract<OnceEvent, { type: 'once.putDone' }>['result'],
  ): void {
    const { requestId } = storeCall.effect;
    if (!isSameIncarnation(storeCall)) return;
    deliverEvent(storeCall.process, {
      type: 'once.putDone',
      requestId,
      result,
    });
  }

  /**
   * Applies a store call and returns the function that delivers its reply. A
   * put takes effect only when its expected version is the stored one.
   */
  function applyStoreCall(storeCall: StoreCall): () => void {
    const { effect } = storeCall;
    const current = claims.get('k');
    const found = current && { ...current, ageMs: nowMs - current.changedAtMs };
    if (effect.type === 'once.read') {
      return () => {
        if (!isSameIncarnation(storeCall)) return;
        deliverEvent(storeCall.process, {
          type: 'once.readDone',
          requestId: effect.requestId,
          result: found ? { type: 'found', found } : { type: 'absent' },
        });
      };
    }
    if ((current?.version ?? 0) !== effect.expectedVersion) {
      return () => {
        replyPut(storeCall, { type: 'conflict', found });
      };
    }
    const version = effect.expectedVersion + 1;
    const claim = { ...effect.draft, createdAtMs: 0, changedAtMs: nowMs };
    claims.set('k', { claim, version, ageMs: 0, changedAtMs: nowMs });
    return () => {
      replyPut(storeCall, { type: 'written', version });
    };
  }

  function loseReply(storeCall: StoreCall): void {
    const { requestId, type } = storeCall.effect;
    if (type === 'once.put') {
      replyPut(storeCall, { type: 'replyLost' });
    } else if (isSameIncarnation(storeCall)) {
      const result = { type: 'failed' } as const;
      deliverEvent(storeCall.process, {
        type: 'once.readDone',
        requestId,
        result,
      });
    }
  }

  function runMessage(message: Message): string {
    const { attemptId, bodyId } = message;
    const answer = `answer to ${bodyId}`;
    const at = { atMs: nowMs, targetId: 's1', attemptId, bodyId };
    history.push({ type: 'target.started', ...at });
    history.push({ type: 'target.finished', ...at, answer });
    answersByKey.set('k', answer);
    return answer;
  }

  function endAttempt(message: Message, end: AttemptEnd, answer?: string) {
    if (message.answered || !isSameIncarnation(message)) return;
    if (answer !== undefined && !answers.has(message.requestId)) {
      answers.set(message.requestId, answer);
    }
    const event: Unstamped<RequestEvent> = {
      type: 'attempt.ended',
      requestId: message.requestId,
      attemptId: message.attemptId,
      targetId: 's1',
      end,
      outputTokens: 0,
      sent: true,
      answer: answer === undefined ? undefined : storedAnswerOf(answer),
    };
    deliverEvent(message.process, event);
  }

  function advanceTime(ms: number): void {
    nowMs += ms;
    messages = messages.filter(
      (m) => !m.answered || nowMs - m.sentAtMs < MAX_MESSAGE_DELAY_MS,
    );
    processes.forEach((process) => {
      deliverEvent(process, { type: 'clock.ticked' });
    });
  }

  function announceMembers(
    dead: readonly EntryAddress[],
    to: readonly Process[],
  ) {
    const live = processes.map(addressOf).filter((a) => !includes(dead, a));
    to.forEach((process) => {
      deliverEvent(process, {
        type: 'members.changed',
        live,
        leaving: [],
        dead,
      });
    });
  }

  function start(process: Process): void {
    deliverEvent(process, { type: 'entry.started', self: addressOf(process) });
    deliverEvent(process, {
      type: 'targets.changed',
      targets: [serviceTarget],
    });
  }

  function crash(process: Process): void {
    const dead = addressOf(process);
    process.incarnation += 1;
    process.state = initialStateOf(slices);
    process.paused = false;
    process.inbox = [];
    entryOf.forEach((of, requestId) => {
      if (of !== process) return;
      history.push({ type: 'caller.lost', atMs: nowMs, callId: requestId });
    });
    start(process);
    announceMembers([dead], processes);
  }

  function resume(process: Process): void {
    process.paused = false;
    const { inbox } = process;
    process.inbox = [];
    inbox.forEach((event) => {
      deliverEvent(process, event);
    });
  }

  function act([kind, pick]: Action): void {
    const process = processes[pick % processes.length] ?? processes[0];
    if (process === undefined) return;
    switch (kind) {
      case 'call':
        call(process, 'body1');
        return;
      case 'callOtherBody':
        call(process, 'body2');
        return;
      case 'callerGone': {
        const requestId = [...entryOf.keys()][pick];
        if (requestId === undefined) return;
        const of = entryOf.get(requestId) ?? process;
        deliverEvent(of, { type: 'request.callerGone', requestId });
        return;
      }
      case 'storeServes':
      case 'storeLosesReply': {
        const storeCall = removeAt(storeCalls, pick);
        if (storeCall === undefined) return;
        const reply = applyStoreCall(storeCall);
        if (kind === 'storeServes') reply();
        else loseReply(storeCall);
        return;
      }
      case 'storeDelays': {
        const storeCall = removeAt(storeCalls, pick);
        if (storeCall === undefined) return;
        loseReply(storeCall);
        storeCalls.push({ ...storeCall, incarnation: -1 });
        return;
      }
      case 'storeRefuses': {
        const storeCall = removeAt(storeCalls, pick);
        if (storeCall === undefined) return;
        if (storeCall.effect.type === 'once.read') loseReply(storeCall);
        else replyPut(storeCall, { type: 'noEffect' });
        return;
      }
      case 'serviceAnswers':
      case 'serviceCrashesAfterRun': {
        const message = removeAt(messages, pick);
        if (message === undefined) return;
        const answer = runMessage(message);
        if (kind === 'serviceAnswers') {
          endAttempt(message, { type: 'done' }, answer);
        } else endAttempt(message, { type: 'cut', reason: 'died' });
        return;
      }
      case 'serviceGoesSilent': {
        const message = removeAt(messages, pick);
        if (message !== undefined) runMessage(message);
        return;
      }
      case 'connectionCut': {
        const message = messages[pick % Math.max(1, messages.length)];
        if (message === undefined) return;
        endAttempt(message, { type: 'cut', reason: 'reset' });
        message.answered = true;
        return;
      }
      case 'serviceRefuses': {
        const message = removeAt(messages, pick);
        if (message === undefined) return;
        const end = { type: 'refused', reason: '', retryAfterMs: 0 } as const;
        endAttempt(message, end);
        return;
      }
      case 'lookupServes':
      case 'lookupFails': {
        const lookup = removeAt(lookups, pick);
        if (lookup === undefined || !isSameIncarnation(lookup)) return;
        if (lookup.effect.type !== 'once.lookUp') return;
        const { requestId } = lookup.effect;
        const answer = answersByKey.get('k');
        const known =
          answer === undefined
            ? ({ type: 'absent' } as const)
            : ({ type: 'done', answer: storedAnswerOf(answer) } as const);
        const result =
          kind === 'lookupServes' ? known : ({ type: 'failed' } as const);
        deliverEvent(lookup.process, {
          type: 'once.lookedUp',
          requestId,
          result,
        });
        return;
      }
      case 'wait100':
      case 'wait3000':
      case 'wait15000':
        advanceTime(Number(kind.slice(4)));
        return;
      case 'pause':
        if (process.paused) resume(process);
        else process.paused = true;
        return;
      case 'crash':
        crash(process);
        return;
      case 'declareDead':
        announceMembers(
          [addressOf(process)],
          processes.filter((p) => p !== process),
        );
        return;
    }
  }

  function openClaimCounts(): readonly number[] {
    return processes.map(
      ({ state }) => (state.once as typeof onceSlice.initial).openClaims.size,
    );
  }

  function isBusy(): boolean {
    const open = processes.map(
      ({ state }) => (state.requests as typeof requestsSlice.initial).open.size,
    );
    return [...open, ...openClaimCounts()].some((count) => count > 0);
  }

  /** Runs until every request and claim has ended, then closes the history. */
  function settle(): void {
    processes.filter((process) => process.paused).forEach(resume);
    for (let i = 0; i < MAX_SETTLE_TICKS && (i < 1 || isBusy()); i += 1) {
      while (storeCalls.length > 0) act(['storeServes', 0]);
      while (messages.length > 0) act(['serviceAnswers', 0]);
      while (lookups.length > 0) act(['lookupServes', 0]);
      advanceTime(100);
    }
    const atMs = nowMs + SETTLED_MS;
    history.push({
      type: 'target.memory',
      atMs,
      targetId: 's1',
      reservedTokens: 0,
    });
  }

  processes.forEach(start);
  announceMembers([], processes);
  return {
    act,
    settle,
    history,
    claim: () => claims.get('k')?.claim,
    open: openClaimCounts,
  };
}

function storedAnswerOf(answer: string) {
  return {
    status: 200,
    contentType: 'text/plain',
    bodyBase64: Buffer.from(answer).toString('base64'),
  };
}

function addressOf(process: Process): EntryAddress {
  const { entryId, incarnation } = process;
  return { entryId, incarnation } as EntryAddress;
}

function includes(
  addresses: readonly EntryAddress[],
  address: EntryAddress,
): boolean {
  return addresses.some(
    (other) =>
      other.entryId === address.entryId &&
      other.incarnation === address.incarnation,
  );
}
