/** A deployment of the size that SYSTEM.md gives for the small ones. */
import { randomBytes } from 'node:crypto';

export const HOST = 'review.example';

/** Services and limits as `fleetbench wire` shows them, with the sheet's figures. */
export function createConfig({ version, tenants, maxAttempts = 2 }) {
  const route = (name, type, service, more) => ({
    Name: `r-${name}`,
    Host: HOST,
    Prefix: `/${name}/`,
    RouteType: type,
    TimeoutMs: 1000,
    TargetLatencyMs: 193,
    Priority: 2,
    Service: service,
    MaxAttempts: maxAttempts,
    Anonymous: false,
    ...more,
  });
  return {
    Version: version,
    Routes: [
      route('casing', 'idempotent', 'workshop'),
      route('booking', 'non_idempotent', 'workshop', { MaxAttempts: 1 }),
      route('tread', 'streaming', 'tyre', {
        TimeoutMs: 10_000,
        TargetLatencyMs: 300,
        GapTargetMs: 250,
        Priority: 1,
        StreamResume: true,
        SessionAffinity: true,
      }),
    ],
    Services: [
      { Name: 'workshop', HealthPath: '/healthz', MaxConnections: 96 },
      {
        Name: 'tyre',
        HealthPath: '/healthz',
        MaxConnections: 424,
        Engine: {
          Slots: 11,
          KvCapacity: 315_000,
          Stride: 51,
          step_ms: 0.85,
          per_seq_ms: 0.00425,
          context_per_k: 0.00285,
          read_per_s: 177_000,
          pairs_per_m: 0.184,
          HopMs: 0.05,
        },
      },
    ],
    Tenants: tenants,
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** Ten tenants with two keys each. */
export function createTenants() {
  return Array.from({ length: 10 }, (_, n) => ({
    Name: `tenant${n}`,
    ApiKeys: [0, 1].map(() => randomBytes(10).toString('hex')),
    Priority: 1,
  }));
}

export const newAttemptId = () => randomBytes(8).toString('hex');
