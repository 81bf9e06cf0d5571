import type { PartDeath, PartSuspectsEvent } from './index.ts';

/** Service of all events. */
export const SERVICE = 's';

/** A death, by default 50 ms after its request was sent. */
export const deathOf = (
  process: string,
  parts: readonly string[],
  sentAtMs: number,
  endedAtMs = sentAtMs + 50,
): PartDeath => ({
  id: `${process}#${parts.join()}@${sentAtMs}`,
  service: SERVICE,
  process,
  parts,
  sentAtMs,
  endedAtMs,
});

/** A death that this entry observed. */
export const died = (death: PartDeath): PartSuspectsEvent => ({
  type: 'partSuspects.died',
  atMs: death.endedAtMs,
  death,
});

/** An answer to a request of this entry that began. */
export const answered = (
  atMs: number,
  parts: readonly string[] = [],
): PartSuspectsEvent => ({
  type: 'partSuspects.answered',
  atMs,
  service: SERVICE,
  parts,
});

/** Answers to requests without parts, which show that the service works. */
export const others = (atMs: number): readonly PartSuspectsEvent[] => [
  answered(atMs),
  answered(atMs),
  answered(atMs),
];

/** Three deaths in sequence under requests with the same parts. */
export const three = (
  parts: readonly string[],
  fromMs = 0,
): readonly PartSuspectsEvent[] =>
  [0, 100, 200].map((ms) =>
    died(deathOf(`p${fromMs + ms}`, parts, fromMs + ms)),
  );
