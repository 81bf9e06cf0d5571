import { evacuatedDataCentres } from '@endivegate/core/forwarding';
import type { EventLog } from '../../createEventLog/index.ts';
import type { GatewayMetrics } from '../../createGatewayMetrics/index.ts';
import type {
  GatewayBounds,
  GatewayRuntime,
} from '../../gatewayRuntime/index.ts';

/**
 * Creates a function that is called in regular intervals: it notices a stop of the
 * process, sets the metric and logs evacuated data centres that have no target.
 */
export function createEvacuationWatch(options: {
  readonly runtime: GatewayRuntime;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly bounds: Pick<GatewayBounds, 'evacuationMs'>;
}): (atMs: number) => void {
  const { runtime, log, metrics, bounds } = options;
  let unknown: ReadonlySet<string> = new Set();
  return (atMs) => {
    if (bounds.evacuationMs !== undefined) {
      runtime.dispatch({ type: 'evacuations.ticked', atMs });
    }
    const { evacuations, roster } = runtime.state();
    const evacuated = evacuatedDataCentres(evacuations);
    metrics.evacuatedDataCentres(evacuated.length);
    if (evacuated.length === 0 || roster.targets.size === 0) return;
    const known = new Set(
      [...roster.targets.values()].map(({ dataCentre }) => dataCentre),
    );
    const nowUnknown = evacuated
      .map(({ dataCentre }) => dataCentre)
      .filter((dataCentre) => !known.has(dataCentre));
    nowUnknown
      .filter((dataCentre) => !unknown.has(dataCentre))
      .forEach((dataCentre) => {
        log.warn('evacuation.unknownDataCentre', { dataCentre });
      });
    unknown = new Set(nowUnknown);
  };
}
