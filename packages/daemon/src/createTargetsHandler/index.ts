import type {
  InstanceList,
  PlatformPort,
  TargetsUpdate,
} from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import type { EffectHandler } from '../runtime/index.ts';

/** Options of {@link createTargetsHandler}. */
export interface CreateTargetsHandlerOptions {
  readonly platform: Pick<PlatformPort, 'instances'>;
  /** Sends an update to another entry; resolves whether it was delivered. */
  readonly notifyPeer: (
    toEntryId: string,
    update: TargetsUpdate,
  ) => Promise<boolean>;
  /** Told when the list could not be read. */
  readonly onError: (error: { readonly type: string }) => void;
  /** Waits between two tries to deliver an update. */
  readonly sleep?: (delayMs: number) => Promise<void>;
}

/** Tries to deliver an update before it is left to the follower's own read. */
const SHARE_ATTEMPTS = 4;

/** Wait before the second try; doubled for each further one. */
const SHARE_RETRY_MS = 250;

/**
 * Creates the handler that reads the instance list and shares its changes.
 *
 * @param options - Platform, and what to tell.
 * @returns The handler of the `targets` effects.
 */
export function createTargetsHandler(
  options: CreateTargetsHandlerOptions,
): EffectHandler {
  const sleep = options.sleep ?? wait;

  async function read(onList: (list: InstanceList) => void): Promise<boolean> {
    const list = await options.platform.instances({ purpose: 'instances' })();
    if (E.isRight(list)) onList(list.right);
    else options.onError(list.left);
    return E.isRight(list);
  }

  async function share(
    toEntryId: string,
    update: TargetsUpdate,
    attempt = 1,
  ): Promise<void> {
    const isDelivered = await options.notifyPeer(toEntryId, update);
    if (isDelivered || attempt >= SHARE_ATTEMPTS) return;
    await sleep(SHARE_RETRY_MS * 2 ** (attempt - 1));
    await share(toEntryId, update, attempt + 1);
  }

  return (effect, runtime) => {
    if (effect.type === 'targets.share') {
      effect.toEntryIds.forEach((id) => void share(id, effect.update));
    }
    if (effect.type !== 'targets.read') return;
    void read(({ targets, entries }) => {
      runtime.dispatch({ type: 'targets.listed', targets });
      runtime.dispatch({ type: 'membership.listed', entries });
    }).then((isRead) => {
      if (!isRead) runtime.dispatch({ type: 'targets.listFailed' });
    });
  };
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
