import type { SendPlan } from '../../planSend/index.ts';
import type { SendHandle } from '../../runSend/index.ts';

/** A send of a request that has not ended. */
export interface OpenSend {
  readonly plan: SendPlan;
  /** Undefined while the send is being started. */
  handle: SendHandle | undefined;
  /** Whether its target has been silent for too long since its last event. */
  isSilent: boolean;
  /** Whether a byte has left this process, after memory was reserved and a connection was
   * opened. */
  wasSent: boolean;
}

/** The open sends of one request: several while a silent one is taken over. */
export interface OpenSends {
  readonly add: (plan: SendPlan) => OpenSend;
  readonly remove: (send: OpenSend) => void;
  readonly has: (send: OpenSend) => boolean;
  readonly isAny: () => boolean;
  /** Whether any of them may run. */
  readonly isAnySent: () => boolean;
  /** Sends to targets, not to peers. */
  readonly toTargets: () => readonly OpenSend[];
  /** Number of sends by whether they are silent. */
  readonly count: () => { readonly live: number; readonly silent: number };
  /** Ends all sends but the one that has answered. Returns how many. */
  readonly supersede: (answered?: OpenSend) => number;
  readonly cancelAll: () => void;
  readonly resumeAll: () => void;
}

/** Creates an empty set of open sends. */
export function createOpenSends(): OpenSends {
  const sends = new Set<OpenSend>();
  return {
    add(plan) {
      const send: OpenSend = {
        plan,
        handle: undefined,
        isSilent: false,
        wasSent: false,
      };
      sends.add(send);
      return send;
    },
    remove: (send) => {
      sends.delete(send);
    },
    has: (send) => sends.has(send),
    isAny: () => sends.size > 0,
    isAnySent: () => [...sends].some((send) => send.wasSent),
    toTargets: () => [...sends].filter((send) => !send.plan.isRelay),
    count() {
      const silent = [...sends].filter((send) => send.isSilent).length;
      return { live: sends.size - silent, silent };
    },
    supersede(answered) {
      if (answered !== undefined && sends.size === 1) return 0;
      const others = [...sends].filter((send) => send !== answered);
      others.forEach((send) => {
        sends.delete(send);
        send.handle?.supersede();
      });
      return others.length;
    },
    cancelAll() {
      sends.forEach((send) => send.handle?.cancel());
      sends.clear();
    },
    resumeAll() {
      sends.forEach((send) => send.handle?.resume());
    },
  };
}
