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
  /** Sends an update to an entry; resolves to whether it was delivered. */
  readonly notifyPeer: (
    toEntryId: string,
    update: TargetsUpdate,
  ) => Promise<boolean>;
  /** Called when the instance list cannot be read. */
  readonly onError: (error: { readonly type: string }) => void;
  /** Waits between two attempts to deliver an update. */
  readonly sleep?: (delayMs: number) => Promise<void>;
}

/** Attempts to deliver an update; after that, the follower reads it itself. */
const MAX_SHARE_ATTEMPTS = 4;

/** Delay before the first retry; doubled for each further retry. */
const SHARE_RETRY_DELAY_MS = 250;

/**
 * Creates the handler that reads the instance list and shares its changes with
 * other entries.
 *
 * @param options - Platform, peer notification and callbacks.
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
    if (isDelivered || attempt >= MAX_SHARE_ATTEMPTS) return;
    await sleep(SHARE_RETRY_DELAY_MS * 2 ** (attempt - 1));
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
    }).then((wasRead) => {
      if (!wasRead) runtime.dispatch({ type: 'targets.listFailed' });
    });
  };
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
