import { expect } from 'chai';
import type { IncomingHttpHeaders } from 'node:http';
import { testDialect } from '../testDialect/index.ts';
import {
  readRelay,
  relayDialect,
  withoutRelayHeaders,
  writeRelay,
} from './index.ts';

describe('writeRelay', () => {
  const request = {
    rawHeaders: [
      ...['Host', 'api.example'],
      ...['Authorization', 'Bearer k'],
      ...['X-Request', 'a1'],
      ...['X-Deadline-Ms', '9000'],
      ...['Last-Event-Id', '1'],
      ...['X-Relay-Attempts', '9'],
      ...['Connection', 'keep-alive'],
    ],
    deadlineMs: 8500,
    lastEventId: '4',
    ageMs: 499.6,
    attempts: 2,
    configVersion: 7,
  };

  it("passes the caller's headers and key, and replaces what has changed", () => {
    expect(writeRelay(request, testDialect)).to.deep.equal([
      ['Host', 'api.example'],
      ['Authorization', 'Bearer k'],
      ['X-Request', 'a1'],
      ['x-deadline-ms', '8500'],
      ['last-event-id', '4'],
      ['x-relay-age-ms', '500'],
      ['x-relay-attempts', '2'],
      ['x-relay-config-version', '7'],
    ]);
  });

  it('tells a version beyond 2^53 with all digits', () => {
    const configVersion = 1796000000000000003n;
    const headers = writeRelay({ ...request, configVersion }, testDialect);
    expect(readRelay(Object.fromEntries(headers))?.configVersion).to.equal(
      configVersion,
    );
  });

  it('is read back by the peer', () => {
    const headers = Object.fromEntries(writeRelay(request, testDialect));
    expect(readRelay(headers)).to.deep.equal({
      ageMs: 500,
      attempts: 2,
      configVersion: 7,
    });
  });
});

describe('readRelay', () => {
  it('returns undefined for a request that was not relayed, or cannot be read', () => {
    expect(readRelay({})).to.equal(undefined);
    const relayed = {
      'x-relay-age-ms': '1',
      'x-relay-attempts': '1',
      'x-relay-config-version': '1',
    };
    expect(readRelay(relayed)).not.to.equal(undefined);
    [
      { ...relayed, 'x-relay-age-ms': '-1' },
      { ...relayed, 'x-relay-attempts': '0' },
      { ...relayed, 'x-relay-config-version': 'new' },
    ].forEach((headers) => {
      expect(readRelay(headers)).to.equal(undefined);
    });
  });
});

describe('withoutRelayHeaders', () => {
  // Guards against callers whose headers reach targets as if an entry had set them.
  it('removes names and values', () => {
    const raw = ['A', 'x-relay-age-ms', 'X-Relay-Age-Ms', '1', 'B', '2'];
    expect(withoutRelayHeaders(raw)).to.deep.equal([
      'A',
      'x-relay-age-ms',
      'B',
      '2',
    ]);
  });
});

describe('relayDialect', () => {
  const isNotRun = (status: number, by: string | undefined) =>
    relayDialect(testDialect).readTarget(
      status,
      by === undefined ? {} : { 'x-relay-by': by },
    ).notExecuted;

  // Guards against saying that a request did not run because a target that ran it
  // answered 503 without a signature.
  it("takes a peer's own refusals for not run, but no answer of a target", () => {
    const byEntry = [503, 404, 401, 502, 504].map((one) =>
      isNotRun(one, 'entry'),
    );
    const byTarget = [503, 404, 500].map((one) => isNotRun(one, 'target'));
    expect(byEntry).to.deep.equal([true, true, true, false, false]);
    expect(byTarget).to.deep.equal([false, false, false]);
  });

  // Guards against another send of what all entries refuse, or of what a target has answered.
  it("tells a peer's refusal on account of its own state from others", () => {
    const isLocal = (status: number, headers: IncomingHttpHeaders) =>
      relayDialect(testDialect).readTarget(status, headers).isLocalRefusal;
    const local = { 'x-relay-by': 'entry', 'x-relay-refusal': 'local' };
    expect([
      isLocal(503, local),
      isLocal(502, local),
      isLocal(503, { 'x-relay-by': 'entry' }),
      isLocal(503, { ...local, 'x-relay-by': 'target' }),
    ]).to.deep.equal([true, false, false, false]);
  });

  // Guards against a 404 of an earlier build, which serves no relayed requests, that
  // reaches the caller.
  it('takes any answer of an entry that serves no relayed requests for not run', () => {
    expect(isNotRun(404, undefined)).to.equal(true);
  });
});
