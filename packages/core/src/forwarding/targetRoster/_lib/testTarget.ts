import type { ListedTarget } from '@endivegate/contracts/forwarding';

/** A target as it is listed, for tests. */
export const testTarget: ListedTarget = {
  id: 't1',
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  draining: false,
  slots: 4,
  bornMs: 100,
};
