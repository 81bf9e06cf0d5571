import { expect } from 'chai';
import type {
  ForwardingConfig,
  ForwardingRoute,
} from '@endivegate/contracts/forwarding';
import { buildRouteTable, matchRoute, pickService } from './index.ts';

const route: ForwardingRoute = {
  name: 'r',
  host: 'api.example',
  prefix: '/a/',
  repeat: 'idempotent',
  timeoutMs: 1000,
  targetLatencyMs: 100,
  gapTargetMs: 0,
  priority: 1,
  shares: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  anonymous: false,
  resumable: false,
};

const config: ForwardingConfig = {
  version: 3,
  routes: [
    route,
    { ...route, name: 'longer', prefix: '/a/b/' },
    { ...route, name: 'other', host: 'other.example' },
  ],
  services: [],
  requiresKeys: true,
  workspaces: [{ name: 'w', keys: ['k1', 'k2'] }],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

describe('routeTable', () => {
  const table = buildRouteTable(config);
  const nameOf = (host: string, path: string) =>
    matchRoute(table, host, path)?.name;

  it('matches the longest prefix of the host', () => {
    expect(nameOf('api.example', '/a/b/c')).to.equal('longer');
    expect(nameOf('api.example', '/a/c')).to.equal('r');
    expect(nameOf('other.example', '/a/b/c')).to.equal('other');
  });

  it('ignores the case and the port of the host, and the query', () => {
    expect(nameOf('API.example:8080', '/a/?x=/a/b/')).to.equal('r');
  });

  it('returns no route for an unknown host or a path outside every prefix', () => {
    expect(nameOf('api.example', '/b/')).to.equal(undefined);
    expect(nameOf('api.example', '/a')).to.equal(undefined);
    expect(nameOf('nowhere.example', '/a/')).to.equal(undefined);
  });

  it('finds the workspace of a key', () => {
    expect(table.workspacesByKey.get('k2')?.name).to.equal('w');
    expect(table.workspacesByKey.get('k3')).to.equal(undefined);
  });

  it('picks services by weight and never a service of weight 0', () => {
    const split = {
      ...route,
      shares: [
        { service: 'none', weight: 0 },
        { service: 'most', weight: 90 },
        { service: 'some', weight: 10 },
      ],
    };
    expect(pickService(split, 0)).to.equal('most');
    expect(pickService(split, 0.89)).to.equal('most');
    expect(pickService(split, 0.95)).to.equal('some');
    expect(pickService({ ...route, shares: [] }, 0.5)).to.equal(undefined);
  });
});
