import { expect } from 'chai';
import { planReservation } from './index.ts';

const engines = [
  { targetId: 'c', freeTokens: 300 },
  { targetId: 'a', freeTokens: 100 },
  { targetId: 'b', freeTokens: 400 },
];

describe('planReservation', () => {
  it('uses the engines with the most free memory and sorts parts by id', () => {
    expect(planReservation(350, engines)).toMatchSnapshot();
    expect(planReservation(750, engines)).toMatchSnapshot();
  });

  it('returns no plan when the engines cannot hold the whole prompt', () => {
    expect(planReservation(801, engines)).to.equal(undefined);
    expect(planReservation(1, [])).to.equal(undefined);
  });
});
