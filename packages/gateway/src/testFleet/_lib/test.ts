import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import type { RepeatRule } from '@endivegate/contracts/forwarding';
import { sign } from '../../testGateway/index.ts';
import {
  settle,
  startTestFleet,
  type TargetPath,
  type TestFleet,
  type TestFleetAnswer,
} from '../index.ts';

const TARGETS = 9;

/** Callers of each entry that is cut off; all repeat the same request. */
const CALLERS_OF_CUT_ENTRY = 8;

/** Callers of the entry in touch. They are few, so that none of their requests is open
 * for most of the time, whose success would clear the accusation. */
const CALLERS_IN_TOUCH = 2;

const WARM_UP_MS = 500;
const RUN_MS = 30;
const PAUSE_MS = 60;
const CUT_MS = 1500;

/** From this long after a cut has ended, all callers are served. */
const HEALED_AFTER_MS = 3000;
const HEALED_FOR_MS = 1000;

/** Share of the callers of sound entries that are served. */
const MIN_SERVED_SHARE = 0.98;

/** Answers after a moment, so that a cut breaks connections to several targets. */
const runFor =
  (answer: string): RequestListener =>
  (request, response) => {
    setTimeout(() => {
      sign(request, response);
      response.end(answer);
    }, RUN_MS);
  };

const ANSWERS: Readonly<Record<'stream' | 'idempotent', RequestListener>> = {
  stream: runFor('id: 1\ndata: fine\n\n'),
  idempotent: runFor('fine'),
};

interface AnswerAtEntry extends TestFleetAnswer {
  readonly entry: number;
  readonly sentAtMs: number;
}

describe('a fleet whose callers send requests that are alike', () => {
  let fleet: TestFleet | undefined;

  afterEach(() => {
    fleet?.stop();
    fleet = undefined;
  });

  // Guards against a cut that is taken for crashes of targets, after which a sound request
  // is refused by all entries, also by those in touch.
  (
    [
      [2, 'resetting', 'stream'],
      [3, 'refusing', 'stream'],
      [3, 'resetting', 'stream'],
      [3, 'hanging', 'stream'],
      [3, 'resetting', 'idempotent'],
      [8, 'resetting', 'stream'],
      [16, 'resetting', 'idempotent'],
    ] as const satisfies readonly (readonly [number, TargetPath, RepeatRule])[]
  ).forEach(([entries, path, repeat]) => {
    it(`serves callers of ${entries} entries while and after all but one are cut off: ${path}, ${repeat}`, async () => {
      const started = await startTestFleet({
        entries,
        targets: Array.from({ length: TARGETS }, () => ANSWERS[repeat]),
        route: { repeat },
      });
      fleet = started;
      const cut = started.entries.slice(0, -1);
      const callers = startCallers(started);
      await settle(WARM_UP_MS);
      const cutAtMs = performance.now();
      cut.forEach((entry) => {
        entry.setPath(path);
      });
      await settle(CUT_MS);
      cut.forEach((entry) => {
        entry.setPath('open');
      });
      await settle(HEALED_AFTER_MS);
      const healedAtMs = performance.now();
      await settle(HEALED_FOR_MS);
      const answers = await callers.stop();
      const during = answers.filter(({ sentAtMs }) => sentAtMs >= cutAtMs);
      const after = answers.filter(({ sentAtMs }) => sentAtMs >= healedAtMs);
      const inTouch = during.filter(({ entry }) => entry === entries - 1);
      expect(servedShare(inTouch)).to.be.at.least(MIN_SERVED_SHARE);
      expect(servedShare(after)).to.be.at.least(MIN_SERVED_SHARE);
    });
  });
});

/** Has the callers of each entry repeat one request until they are stopped. */
function startCallers(fleet: TestFleet): {
  readonly stop: () => Promise<readonly AnswerAtEntry[]>;
} {
  let isStopped = false;
  const repeatAt = async (entry: number): Promise<readonly AnswerAtEntry[]> => {
    const answers: AnswerAtEntry[] = [];
    while (!isStopped) {
      const sentAtMs = performance.now();
      answers.push({ ...(await fleet.ask(entry)), entry, sentAtMs });
      await settle(PAUSE_MS);
    }
    return answers;
  };
  const last = fleet.entries.length - 1;
  const callers = fleet.entries.flatMap((_, entry) =>
    Array.from(
      { length: entry === last ? CALLERS_IN_TOUCH : CALLERS_OF_CUT_ENTRY },
      () => repeatAt(entry),
    ),
  );
  return {
    async stop() {
      isStopped = true;
      return (await Promise.all(callers)).flat();
    },
  };
}

function servedShare(answers: readonly AnswerAtEntry[]): number {
  const served = answers.filter(({ status }) => status === 200);
  return served.length / answers.length;
}
