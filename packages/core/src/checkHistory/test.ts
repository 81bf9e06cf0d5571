import { expect } from 'chai';
import { checkHistory, HISTORY_RULES, type HistoryEvent } from './index.ts';

type EventOf<T extends HistoryEvent['type']> = Extract<
  HistoryEvent,
  { type: T }
>;

const sent = (
  callId: string,
  changes: Partial<EventOf<'caller.sent'>> = {},
): HistoryEvent => ({
  type: 'caller.sent',
  atMs: 0,
  callId,
  bodyId: `body-${callId}`,
  workspace: 'w',
  idempotencyKey: undefined,
  timeoutMs: 1_000,
  ...changes,
});
const started = (
  callId: string,
  changes: Partial<EventOf<'target.started'>> = {},
): HistoryEvent => ({
  type: 'target.started',
  atMs: 10,
  targetId: 't1',
  attemptId: `${callId}.1`,
  bodyId: `body-${callId}`,
  ...changes,
});
const finished = (callId: string): HistoryEvent => ({
  type: 'target.finished',
  atMs: 20,
  targetId: 't1',
  attemptId: `${callId}.1`,
  bodyId: `body-${callId}`,
  answer: `answer to ${callId}`,
});
const ended = (
  callId: string,
  changes: Partial<EventOf<'caller.ended'>> = {},
): HistoryEvent => ({
  type: 'caller.ended',
  atMs: 30,
  callId,
  requestId: callId,
  ran: 'yes',
  outcome: 'answered',
  answer: `answer to ${callId}`,
  ...changes,
});
const memory = (atMs: number, reservedTokens: number): HistoryEvent => ({
  type: 'target.memory',
  atMs,
  targetId: 't1',
  reservedTokens,
});
const refusal = { ran: 'no', outcome: 'refused', answer: undefined } as const;
const answeredCall = (callId: string) => [
  sent(callId),
  started(callId),
  finished(callId),
  ended(callId),
];

/**
 * A history that satisfies every rule, with unusual but allowed events: a
 * refusal, a lost caller, a repeated call and memory held for a while.
 */
const validHistory: readonly HistoryEvent[] = [
  ...answeredCall('a'),
  sent('b'),
  ended('b', refusal),
  sent('c', { idempotencyKey: 'k' }),
  started('c'),
  { type: 'caller.lost', atMs: 15, callId: 'c' },
  finished('c'),
  sent('c2', { idempotencyKey: 'k', bodyId: 'body-c' }),
  ended('c2', { answer: 'answer to c' }),
  memory(40, 500),
  memory(10_100, 0),
];

/** Histories that each violate one rule, which the name starts with. */
const violatingHistories: Readonly<Record<string, readonly HistoryEvent[]>> = {
  'once: key run twice': [
    ...validHistory,
    started('c2', { bodyId: 'body-c', targetId: 't2' }),
  ],
  'once: key run with two bodies': [
    ...validHistory,
    sent('c3', { idempotencyKey: 'k' }),
    ended('c3', { ran: 'unknown', outcome: 'failed', answer: undefined }),
    started('c3'),
  ],
  'truthfulRan: no, but it ran': [...validHistory, started('b')],
  'truthfulRan: no, and it ran after the answer': [
    ...validHistory,
    started('b', { atMs: 900 }),
  ],
  'truthfulRan: yes, but it never ran': [
    ...validHistory,
    sent('d'),
    ended('d', { outcome: 'failed', answer: undefined }),
  ],
  'truthfulRan: answered, but unknown': [
    ...validHistory,
    sent('d'),
    started('d'),
    finished('d'),
    ended('d', { ran: 'unknown' }),
  ],
  'wholeAnswer: cut': [
    ...validHistory,
    sent('d'),
    started('d'),
    finished('d'),
    ended('d', { answer: 'answer to' }),
  ],
  'wholeAnswer: never finished': [
    ...validHistory,
    sent('d'),
    started('d'),
    ended('d'),
  ],
  'ownAnswer: crossed': [
    ...answeredCall('a'),
    sent('d'),
    started('d'),
    finished('d'),
    ended('d', { answer: 'answer to a' }),
  ],
  'deadline: late': [
    ...validHistory,
    sent('d'),
    ended('d', { ...refusal, atMs: 1_101 }),
  ],
  'deadline: no end': [...validHistory, sent('d')],
  'memoryReturned: kept': [...validHistory, memory(10_200, 1)],
};

describe('checkHistory', () => {
  it('accepts a history that satisfies every rule', () => {
    expect(checkHistory(validHistory)).to.deep.equal([]);
  });

  it('rejects a planted violation of each rule, and names only that rule', () => {
    const found = Object.entries(violatingHistories).map(([name, history]) => [
      name,
      checkHistory(history),
    ]);
    expect(found).toMatchSnapshot();
    Object.entries(violatingHistories).forEach(([name, history]) => {
      const violatedRules = new Set(
        checkHistory(history).map(({ rule }) => rule),
      );
      expect([...violatedRules], name).to.deep.equal([name.split(':')[0]]);
    });
  });

  it('has a planted violation of every rule', () => {
    const names = Object.keys(violatingHistories).map(
      (name) => name.split(':')[0],
    );
    expect([...new Set(names)]).to.deep.equal([...HISTORY_RULES]);
  });

  it('does not depend on the order of events', () => {
    Object.values(violatingHistories).forEach((history) => {
      expect(checkHistory(history.toReversed()).length).to.equal(
        checkHistory(history).length,
      );
    });
  });
});
