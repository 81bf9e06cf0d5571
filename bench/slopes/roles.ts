import {
  measureInstanceLists,
  measureLoadReads,
  measureNotifications,
  measureReservationLists,
} from './roles/calls.ts';
import type { Figures } from './figures.ts';
import { measureMembership } from './roles/membership.ts';
import { measureRequests } from './roles/requests.ts';
import { measureTable } from './roles/table.ts';
import { measureTimeline } from './roles/timeline.ts';
import { measureIdle, measureLoaded } from './roles/node.ts';

/** A role of an entry and the sizes at which it is measured. */
export interface Role {
  /** What the size counts. */
  readonly sizeName: string;
  readonly sizes: readonly number[];
  /** Size in the fleet to design for; costs are computed for it. */
  readonly targetSize: number;
  readonly measure: (size: number) => Figures | Promise<Figures>;
}

/** Number of open requests per entry while the number of targets varies. */
const OPEN_REQUESTS = 200;

/** Number of targets while the number of open requests varies. */
const TARGETS = 830;

/** All measured roles by name. */
export const ROLES: Readonly<Record<string, Role>> = {
  nodeAlone: {
    sizeName: 'nothing',
    sizes: [1],
    targetSize: 1,
    measure: measureIdle,
  },
  daemonLoaded: {
    sizeName: 'nothing',
    sizes: [1],
    targetSize: 1,
    measure: measureLoaded,
  },
  membership: {
    sizeName: 'members',
    sizes: [50, 100, 200, 370],
    targetSize: 370,
    measure: measureMembership,
  },
  tableHolder: {
    sizeName: 'rows',
    sizes: [1_000, 5_000, 10_000, 20_000],
    targetSize: 20_400,
    measure: measureTable,
  },
  targetsKnown: {
    sizeName: 'targets',
    sizes: [100, 250, 500, 830],
    targetSize: TARGETS,
    measure: (targets) =>
      measureRequests({ targets, openRequests: OPEN_REQUESTS }),
  },
  requestsOpen: {
    sizeName: 'open requests',
    sizes: [50, 100, 200, 400],
    targetSize: OPEN_REQUESTS,
    measure: (openRequests) =>
      measureRequests({ targets: TARGETS, openRequests }),
  },
  timeline: {
    sizeName: 'events kept',
    sizes: [2_000, 5_000, 10_000, 20_000],
    targetSize: 20_000,
    measure: measureTimeline,
  },
  instanceList: {
    sizeName: 'targets, with entries in proportion',
    sizes: [100, 250, 500, 830],
    targetSize: TARGETS,
    measure: measureInstanceLists,
  },
  loadReads: {
    sizeName: 'reads',
    sizes: [25, 50, 100, 200],
    targetSize: 1,
    measure: measureLoadReads,
  },
  reservationList: {
    sizeName: 'reservations on the engine',
    sizes: [0, 10, 50, 100],
    targetSize: 10,
    measure: measureReservationLists,
  },
  notifications: {
    sizeName: 'notifications',
    sizes: [25, 50, 100, 200],
    targetSize: 1,
    measure: measureNotifications,
  },
};
