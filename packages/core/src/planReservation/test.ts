import { expect } from 'chai';
import { planReservation } from './index.ts';

const rooms = [
  { targetId: 'c', freeTokens: 300 },
  { targetId: 'a', freeTokens: 100 },
  { targetId: 'b', freeTokens: 400 },
];

describe('planReservation', () => {
  it('uses the roomiest engines and lists parts in one global order', () => {
    expect(planReservation(350, rooms)).toMatchSnapshot();
    expect(planReservation(750, rooms)).toMatchSnapshot();
  });

  it('is all or nothing', () => {
    expect(planReservation(801, rooms)).to.equal(undefined);
    expect(planReservation(1, [])).to.equal(undefined);
  });
});
