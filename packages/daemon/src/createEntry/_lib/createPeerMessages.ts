import { routingMessageSchema } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import type { NotifyTopic, PeerClient } from '../../peers/index.ts';
import type { Runtime } from '../../runtime/index.ts';

/** Topics of the messages between entries. */
export type PeerTopic = 'routing' | 'suspects';

/** Sends a message to another entry; resolves whether it was delivered. */
export type NotifyPeer = (
  toEntryId: string,
  topic: PeerTopic,
  message: unknown,
) => Promise<boolean>;

/** What the messages need of the entry; called only once it runs. */
export interface PeerMessagesOptions {
  readonly runtime: () => Runtime;
  readonly client: () => Pick<PeerClient, 'notify'>;
}

const replySchema = z.unknown();

/**
 * Creates the function that sends messages to other entries.
 *
 * @param options - Address book and client.
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
 * Creates the receivers of messages from other entries.
 *
 * @param options - The runtime that takes them as events.
 * @returns Receivers by topic.
 */
export function createTopics(
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
  return { routing: routing };
}
