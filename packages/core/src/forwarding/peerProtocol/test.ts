import { expect } from 'chai';
import { commonVersion, PROTOCOL_VERSION } from './index.ts';

describe('commonVersion', () => {
  it('is the newest version that both know', () => {
    expect(commonVersion({}, 3)).to.equal(0);
    expect(commonVersion({ protocolVersion: 2 }, 3)).to.equal(2);
    expect(commonVersion({ protocolVersion: 4 }, 3)).to.equal(3);
    expect(commonVersion({ protocolVersion: PROTOCOL_VERSION })).to.equal(
      PROTOCOL_VERSION,
    );
  });
});
