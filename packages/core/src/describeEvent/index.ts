import type { RootEvent } from '../reduce/index.ts';

/** Summary of an event in the timeline. */
export interface EventDescription {
  readonly type: string;
  readonly requestId?: string;
  readonly workspace?: string;
  readonly targetId?: string;
  /** Additional fields with any JSON value. */
  readonly detail?: Readonly<Record<string, unknown>>;
}

/**
 * Fields left out of `detail`: the top-level ones, and the reducer's inputs for
 * time and randomness.
 */
const EXCLUDED_DETAIL_FIELDS = new Set([
  'type',
  'atMs',
  'random',
  'requestId',
  'workspace',
  'targetId',
]);

/** Type prefixes of events that are recorded with all their fields. */
const RECORDED_TYPE_PREFIXES = [
  'request.',
  'attempt.',
  'leaving.',
  'orders.',
  'once.',
];

/**
 * Summarizes an event for the timeline, without the content of prompts.
 *
 * @param event - Any event of the entry.
 * @returns The summary, or `undefined` for events that are not recorded.
 *
 * @example
 * describeEvent({ type: 'leaving.requested', atMs, random });
 * // { type: 'leaving.requested' }
 */
export function describeEvent(event: RootEvent): EventDescription | undefined {
  const { type } = event;
  switch (event.type) {
    case 'request.received': {
      const { requestId, workspace, service, kind, promptTokens } =
        event.request;
      const detail = { service, kind, promptTokens };
      return { type, requestId, workspace, detail };
    }
    case 'request.arrived':
      return undefined;
    case 'entry.started':
      return { type, detail: { incarnation: event.self.incarnation } };
    case 'table.installed':
      return { type, detail: { number: event.number } };
    case 'members.changed':
      return {
        type,
        detail: {
          live: event.live.length,
          leaving: event.leaving.map(({ entryId }) => entryId),
          suspected: event.suspected?.map(({ entryId }) => entryId) ?? [],
          dead: event.dead.map(({ entryId }) => entryId),
        },
      };
    case 'targets.changed':
      return {
        type,
        detail: {
          targets: event.targets.length,
          leaving: event.targets
            .filter((target) => target.leaving)
            .map(({ targetId }) => targetId),
        },
      };
    default:
      return RECORDED_TYPE_PREFIXES.some((prefix) => type.startsWith(prefix))
        ? describeFields(event)
        : undefined;
  }
}

function describeFields(event: RootEvent): EventDescription {
  const fields = event as RootEvent & Partial<EventDescription>;
  const detail = Object.fromEntries(
    Object.entries(event).filter(([name]) => !EXCLUDED_DETAIL_FIELDS.has(name)),
  );
  return {
    type: event.type,
    ...(fields.requestId === undefined ? {} : { requestId: fields.requestId }),
    ...(fields.workspace === undefined ? {} : { workspace: fields.workspace }),
    ...(fields.targetId === undefined ? {} : { targetId: fields.targetId }),
    ...(Object.keys(detail).length === 0 ? {} : { detail }),
  };
}
