import {
  routingMessageSchema,
  targetsUpdateSchema,
} from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import type { NotifyTopic, PeerClient } from '../../peers/index.ts';
import type { Runtime } from '../../runtime/index.ts';

/** Topics of the messages between entries. */
export type PeerTopic = 'routing' | 'instances';

/** Sends a message to another entry; resolves to whether it was delivered. */
export type NotifyPeer = (
  toEntryId: string,
  topic: PeerTopic,
  message: unknown,
) => Promise<boolean>;

/** Accessors to parts of the entry, called only after it has started. */
export interface PeerMessagesOptions {
  readonly runtime: () => Runtime;
  readonly client: () => Pick<PeerClient, 'notify'>;
}

const replySchema = z.unknown();

/**
 * Creates the function that sends messages to other entries.
 *
 * @param options - Runtime, whose members' addresses are used, and client.
 * @returns The function.
 */
export function createNotifyPeer(options: PeerMessagesOptions): NotifyPeer {
  return async (toEntryId, topic, message) => {
    const { members } = options.runtime().state().membership;
    const peer = members.get(toEntryId)?.address;
    if (peer === undefined) return false;
    const notification = { topic, message, replySchema };
    return E.isRight(await options.client().notify(peer, notification)());
  };
}

/**
 * Creates the handlers of messages from other entries.
 *
 * @param options - The runtime to which messages are dispatched as events.
 * @returns Handlers by topic.
 */
export function createNotifyTopics(
  options: Pick<PeerMessagesOptions, 'runtime'>,
): Readonly<Record<string, NotifyTopic>> {
  const routing: NotifyTopic<typeof routingMessageSchema> = {
    schema: routingMessageSchema,
    handle: (message, from) => {
      options.runtime().dispatch({
        type: 'routing.peerReceived',
        fromEntryId: from.entryId,
        message,
      });
    },
  };
  const instances: NotifyTopic<typeof targetsUpdateSchema> = {
    schema: targetsUpdateSchema,
    handle: (update) => {
      options.runtime().dispatch({ type: 'targets.updated', update });
    },
  };
  return { routing, instances };
}
