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

/** Longest time for which a sent message stays on its way. */
const MAX_MESSAGE_DELAY_MS = 9_000;
const TIMEOUT_MS = 8_000;
const MAX_SETTLE_TICKS = 700;

/** Time after everything settled at which a history is closed. */
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

/** What may happen next; the number picks one of several. */
export type Action = readonly [kind: (typeof ACTIONS)[number], pick: number];

/** Kinds of actions. */
export const ACTIONS = [
  'call',
  'callOtherBody',
  'callerGone',
  'storeServes',
  'storeLosesReply',
  'storeDelays',
  'storeRefuses',
  'serviceAnswers',
  'serviceAnswersNobody',
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
  'suspectDead',
] as const;

/** Several entries with requests and claims, one store and one service. */
export function createFleet(options: { readonly hasKeyLookup: boolean }) {
  const history: HistoryEvent[] = [];
  const claims = new Map<string, FoundClaim & { changedAtMs: number }>();
  const keysRun = new Map<string, string>();
  const storeCalls: StoreCall[] = [];
  let messages: Message[] = [];
  const lookups: {
    process: Process;
    incarnation: number;
    effect: OnceEffect;
  }[] = [];
  let nowMs = 0;
  let calls = 0;
  const processes = ['a', 'b', 'c'].map((entryId): Process => ({
    entryId,
    incarnation: 1,
    state: initialStateOf(slices),
    paused: false,
    inbox: [],
  }));
  const target = {
    targetId: 's1',
    targetKind: 'service',
    hasKeyLookup: options.hasKeyLookup,
  } as Target;

  function deliver(process: Process, event: Unstamped<Event>): void {
    if (process.paused) {
      process.inbox.push(event);
      return;
    }
    const stamped = { ...event, atMs: nowMs, random: 0.5 } as Event;
    const step: Step<State, Effect> = reduce(process.state, stamped);
    process.state = step.state;
    step.effects.forEach((effect) => {
      run(process, effect);
    });
  }

  function run(process: Process, effect: Effect): void {
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
    deliver(process, {
      type: 'request.dispatched',
      requestId,
      targetId: 's1',
      reservationId: undefined,
    });
  }

  function call(process: Process, bodyId: string): void {
    calls += 1;
    const requestId = `${process.entryId}${calls}`;
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
    deliver(process, { type: 'request.received', request });
    dispatch(process, requestId);
  }

  function take<T>(items: T[], pick: number): T | undefined {
    return items.length === 0
      ? undefined
      : items.splice(pick % items.length, 1)[0];
  }

  function isUp(of: { process: Process; incarnation: number }): boolean {
    return of.process.incarnation === of.incarnation;
  }

  function replyPut(
    storeCall: StoreCall,
    result: Extract<OnceEvent, { type: 'once.putDone' }>['result'],
  ): void {
    const { requestId } = storeCall.effect;
    if (!isUp(storeCall)) return;
    deliver(storeCall.process, { type: 'once.putDone', requestId, result });
  }

  /** Applies a store call; a put needs the version that it expects. */
  function apply(storeCall: StoreCall): () => void {
    const { effect } = storeCall;
    const current = claims.get('k');
    const found = current && { ...current, ageMs: nowMs - current.changedAtMs };
    if (effect.type === 'once.read') {
      return () => {
        if (!isUp(storeCall)) return;
        deliver(storeCall.process, {
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
    } else if (isUp(storeCall)) {
      const result = { type: 'failed' } as const;
      deliver(storeCall.process, { type: 'once.readDone', requestId, result });
    }
  }

  function runMessage(message: Message): string {
    const { attemptId, bodyId } = message;
    const answer = `answer to ${bodyId}`;
    const at = { atMs: nowMs, targetId: 's1', attemptId, bodyId };
    history.push({ type: 'target.started', ...at });
    history.push({ type: 'target.finished', ...at, answer });
    keysRun.set('k', answer);
    return answer;
  }

  function endAttempt(message: Message, end: AttemptEnd, answer?: string) {
    if (message.answered || !isUp(message)) return;
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
      answer: answer === undefined ? undefined : stored(answer),
    };
    deliver(message.process, event);
  }

  function wait(ms: number): void {
    nowMs += ms;
    messages = messages.filter(
      (m) => !m.answered || nowMs - m.sentAtMs < MAX_MESSAGE_DELAY_MS,
    );
    processes.forEach((process) => {
      deliver(process, { type: 'clock.ticked' });
    });
  }

  function announce(dead: readonly EntryAddress[], to: readonly Process[]) {
    const live = processes.map(addressOf).filter((a) => !includes(dead, a));
    to.forEach((process) => {
      deliver(process, {
        type: 'members.changed',
        live,
        leaving: [],
        dead,
      });
    });
  }

  function start(process: Process): void {
    deliver(process, { type: 'entry.started', self: addressOf(process) });
    deliver(process, { type: 'targets.changed', targets: [target] });
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
    announce([dead], processes);
  }

  function resume(process: Process): void {
    process.paused = false;
    const { inbox } = process;
    process.inbox = [];
    inbox.forEach((event) => {
      deliver(process, event);
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
        deliver(of, { type: 'request.callerGone', requestId });
        return;
      }
      case 'storeServes':
      case 'storeLosesReply': {
        const storeCall = take(storeCalls, pick);
        if (storeCall === undefined) return;
        const reply = apply(storeCall);
        if (kind === 'storeServes') reply();
        else loseReply(storeCall);
        return;
      }
      case 'storeDelays': {
        const storeCall = take(storeCalls, pick);
        if (storeCall === undefined) return;
        loseReply(storeCall);
        storeCalls.push({ ...storeCall, incarnation: -1 });
        return;
      }
      case 'storeRefuses': {
        const storeCall = take(storeCalls, pick);
        if (storeCall === undefined) return;
        if (storeCall.effect.type === 'once.read') loseReply(storeCall);
        else replyPut(storeCall, { type: 'noEffect' });
        return;
      }
      case 'serviceAnswers':
      case 'serviceAnswersNobody': {
        const message = take(messages, pick);
        if (message === undefined) return;
        const answer = runMessage(message);
        if (kind === 'serviceAnswers') {
          endAttempt(message, { type: 'done' }, answer);
        } else endAttempt(message, { type: 'cut', reason: 'died' });
        return;
      }
      case 'serviceGoesSilent': {
        const message = take(messages, pick);
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
        const message = take(messages, pick);
        if (message === undefined) return;
        const end = { type: 'refused', reason: '', retryAfterMs: 0 } as const;
        endAttempt(message, end);
        return;
      }
      case 'lookupServes':
      case 'lookupFails': {
        const lookup = take(lookups, pick);
        if (lookup === undefined || !isUp(lookup)) return;
        if (lookup.effect.type !== 'once.lookUp') return;
        const { requestId } = lookup.effect;
        const answer = keysRun.get('k');
        const known =
          answer === undefined
            ? ({ type: 'absent' } as const)
            : ({ type: 'done', answer: stored(answer) } as const);
        const result =
          kind === 'lookupServes' ? known : ({ type: 'failed' } as const);
        deliver(lookup.process, { type: 'once.lookedUp', requestId, result });
        return;
      }
      case 'wait100':
      case 'wait3000':
      case 'wait15000':
        wait(Number(kind.slice(4)));
        return;
      case 'pause':
        if (process.paused) resume(process);
        else process.paused = true;
        return;
      case 'crash':
        crash(process);
        return;
      case 'suspectDead':
        announce(
          [addressOf(process)],
          processes.filter((p) => p !== process),
        );
        return;
    }
  }

  function openClaims(): readonly number[] {
    return processes.map(
      ({ state }) => (state.once as typeof onceSlice.initial).open.size,
    );
  }

  function isBusy(): boolean {
    const open = processes.map(
      ({ state }) => (state.requests as typeof requestsSlice.initial).open.size,
    );
    return [...open, ...openClaims()].some((count) => count > 0);
  }

  /** Lets everything that is under way come to its end. */
  function settle(): void {
    processes.filter((process) => process.paused).forEach(resume);
    for (let i = 0; i < MAX_SETTLE_TICKS && (i < 1 || isBusy()); i += 1) {
      while (storeCalls.length > 0) act(['storeServes', 0]);
      while (messages.length > 0) act(['serviceAnswers', 0]);
      while (lookups.length > 0) act(['lookupServes', 0]);
      wait(100);
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
  announce([], processes);
  return {
    act,
    settle,
    history,
    claim: () => claims.get('k')?.claim,
    open: openClaims,
  };
}

function stored(answer: string) {
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
