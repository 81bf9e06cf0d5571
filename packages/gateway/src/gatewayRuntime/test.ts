import fc from 'fast-check';
import type {
  ExactInteger,
  ForwardingConfig,
} from '@endivegate/contracts/forwarding';
import { createEventLog } from '../createEventLog/index.ts';
import { createGatewayRuntime } from './index.ts';

const configOf = (version: number): ForwardingConfig => ({
  version,
  routes: [],
  services: [],
  requiresKeys: false,
  workspaces: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

describe('createGatewayRuntime', () => {
  it('never activates an older configuration', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 50 })), (versions) => {
        const runtime = createGatewayRuntime(
          createEventLog({
            entryId: 'e1',
            write: (_text, done) => {
              done();
            },
          }),
        );
        const activated: ExactInteger[] = [];
        runtime.onConfig((table) => activated.push(table.config.version));
        versions.forEach((version) => {
          runtime.applyConfig(configOf(version), 'test');
        });
        const isRising = activated.every(
          (version, index) =>
            index === 0 || version > (activated[index - 1] ?? 0),
        );
        const highest =
          versions.length === 0 ? undefined : Math.max(...versions);
        return isRising && runtime.table()?.config.version === highest;
      }),
      { seed: 9, numRuns: 50 },
    );
  });
});
