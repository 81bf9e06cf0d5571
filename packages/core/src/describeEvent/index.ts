import type { RootEvent } from '../reduce/index.ts';

/** What the time line keeps of an event. */
export interface EventDescription {
  readonly type: string;
  readonly requestId?: string;
  readonly workspace?: string;
  readonly targetId?: string;
  /** Further fields, any JSON. */
  readonly detail?: Readonly<Record<string, unknown>>;
}

/** Fields that are kept at the top, or that say nothing to a reader. */
const LEFT_OUT = new Set([
  'type',
  'atMs',
  'random',
  'requestId',
  'workspace',
  'targetId',
]);

/** Prefixes of events that are kept as they are. */
const KEPT_PREFIXES = ['request.', 'attempt.', 'leaving.', 'orders.', 'once.'];

/**
 * Describes an event for the time line: short, and without prompt content.
 *
 * @param event - Any event of the entry.
 * @returns The description, or `undefined` for events that are not kept.
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
      return KEPT_PREFIXES.some((prefix) => type.startsWith(prefix))
        ? describeFields(event)
        : undefined;
  }
}

function describeFields(event: RootEvent): EventDescription {
  const fields = event as RootEvent & Partial<EventDescription>;
  const detail = Object.fromEntries(
    Object.entries(event).filter(([name]) => !LEFT_OUT.has(name)),
  );
  return {
    type: event.type,
    ...(fields.requestId === undefined ? {} : { requestId: fields.requestId }),
    ...(fields.workspace === undefined ? {} : { workspace: fields.workspace }),
    ...(fields.targetId === undefined ? {} : { targetId: fields.targetId }),
    ...(Object.keys(detail).length === 0 ? {} : { detail }),
  };
}
