import { groupBy } from './indexHistory.ts';
import type {
  CheckHistoryOptions,
  HistoryEventOf,
  HistoryRule,
  HistoryViolation,
  IndexedHistory,
} from './types.ts';

type Rule = (
  history: IndexedHistory,
  options: Required<CheckHistoryOptions>,
) => readonly HistoryViolation[];

/** Check of each rule; it returns every violation of the rule in a history. */
export const rules: Readonly<Record<HistoryRule, Rule>> = {
  once: checkOnce,
  truthfulRan: checkTruthfulRan,
  wholeAnswer: checkWholeAnswers,
  ownAnswer: checkOwnAnswers,
  deadline: checkDeadlines,
  memoryReturned: checkMemory,
};

function checkOnce(history: IndexedHistory): readonly HistoryViolation[] {
  const keyed = history.sent.filter(
    (call) => call.idempotencyKey !== undefined,
  );
  const byKey = groupBy(
    keyed,
    (call) => `${call.workspace}/${call.idempotencyKey ?? ''}`,
  );
  return [...byKey].flatMap(([key, calls]) => {
    const bodyIds = new Set(calls.map((call) => call.bodyId));
    const starts = history.starts.filter((start) => bodyIds.has(start.bodyId));
    const secondStart = starts[1];
    if (secondStart === undefined) return [];
    const runs = starts.map((start) => `${start.attemptId}@${start.targetId}`);
    return [
      {
        rule: 'once' as const,
        atMs: secondStart.atMs,
        subject: key,
        detail: `run ${starts.length} times: ${runs.join(', ')}`,
      },
    ];
  });
}

function checkTruthfulRan(
  history: IndexedHistory,
): readonly HistoryViolation[] {
  return history.ended.flatMap((end) => {
    const sent = history.sentByCall.get(end.callId);
    if (sent === undefined) return [];
    const bodyRan = history.startsByBody.has(sent.bodyId);
    const ownRan =
      end.requestId === undefined
        ? bodyRan
        : history.startedRequests.has(end.requestId);
    if (end.ran === 'no' && ownRan) {
      return [
        violation(
          'truthfulRan',
          end,
          'caller was told "no", but the request ran',
        ),
      ];
    }
    if (end.ran === 'yes' && !bodyRan) {
      return [
        violation(
          'truthfulRan',
          end,
          'caller was told "yes", but the request never ran',
        ),
      ];
    }
    return end.outcome === 'answered' && end.ran !== 'yes'
      ? [
          violation(
            'truthfulRan',
            end,
            `answered, but the caller was told "${end.ran}"`,
          ),
        ]
      : [];
  });
}

function checkWholeAnswers(
  history: IndexedHistory,
): readonly HistoryViolation[] {
  return answered(history).flatMap(({ end, bodyId, answer }) => {
    const isOwn = history.answersByBody.get(bodyId)?.has(answer) === true;
    const isOfAnotherBody = history.bodyByAnswer.has(answer);
    return isOwn || isOfAnotherBody
      ? []
      : [violation('wholeAnswer', end, 'no target produced this answer')];
  });
}

function checkOwnAnswers(history: IndexedHistory): readonly HistoryViolation[] {
  return answered(history).flatMap(({ end, bodyId, answer }) => {
    const isOwn = history.answersByBody.get(bodyId)?.has(answer) === true;
    const owner = history.bodyByAnswer.get(answer);
    return isOwn || owner === undefined
      ? []
      : [violation('ownAnswer', end, `the answer belongs to ${owner}`)];
  });
}

function checkDeadlines(
  history: IndexedHistory,
  options: Required<CheckHistoryOptions>,
): readonly HistoryViolation[] {
  return history.sent.flatMap((call) => {
    if (history.lostCalls.has(call.callId)) return [];
    const end = history.endedByCall.get(call.callId);
    const limitAtMs = call.atMs + call.timeoutMs + options.toleranceMs;
    if (end === undefined) {
      return history.endAtMs <= limitAtMs
        ? []
        : [
            violation(
              'deadline',
              { ...call, atMs: limitAtMs },
              'call never ended',
            ),
          ];
    }
    return end.atMs <= limitAtMs
      ? []
      : [violation('deadline', end, `ended ${end.atMs - limitAtMs} ms late`)];
  });
}

function checkMemory(
  history: IndexedHistory,
  options: Required<CheckHistoryOptions>,
): readonly HistoryViolation[] {
  const limitAtMs = history.lastActivityAtMs + options.memoryReturnMs;
  return history.memory
    .filter((sample) => sample.atMs >= limitAtMs && sample.reservedTokens > 0)
    .map((sample) => ({
      rule: 'memoryReturned' as const,
      atMs: sample.atMs,
      subject: sample.targetId,
      detail: `${sample.reservedTokens} tokens still reserved`,
    }));
}

function answered(history: IndexedHistory): readonly {
  readonly end: HistoryEventOf<'caller.ended'>;
  readonly bodyId: string;
  readonly answer: string;
}[] {
  return history.ended.flatMap((end) => {
    const bodyId = history.sentByCall.get(end.callId)?.bodyId;
    return end.outcome === 'answered' && bodyId !== undefined
      ? [{ end, bodyId, answer: end.answer ?? '' }]
      : [];
  });
}

function violation(
  rule: HistoryRule,
  event: { readonly atMs: number; readonly callId: string },
  detail: string,
): HistoryViolation {
  return { rule, atMs: event.atMs, subject: event.callId, detail };
}
