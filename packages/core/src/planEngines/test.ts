import { expect } from 'chai';
import type { Target, WantedModel } from '@endivegate/contracts';
import { planEngines } from './index.ts';

const engines = Array.from({ length: 20 }, (_, index): Target => ({
  targetId: `engine-${index}`,
  targetKind: 'engine',
  url: 'http://127.0.0.1:1',
  region: 'r',
  dataCentre: 'd',
  serves: index < 6 ? ['a'] : [],
  kvCapacityTokens: 1,
  checksFencing: true,
  hasKeyLookup: false,
  leaving: false,
}));
const modelOf = (model: string, mixedEngines: number): WantedModel => ({
  model,
  version: '1',
  adapters: [],
  mixedEngines,
  longEngines: 1,
  shortEngines: 1,
});
const idsOf = (models: readonly WantedModel[], name: string) =>
  planEngines(models, engines)
    .filter(({ model }) => model === name)
    .map(({ targetId }) => targetId)
    .sort();

describe('planEngines', () => {
  it('keeps engines that serve a model and assigns each engine at most once', () => {
    const plan = planEngines([modelOf('b', 3), modelOf('a', 6)], engines);
    const ids = plan.map(({ targetId }) => targetId);
    const keptOfA = plan.filter(
      ({ model, targetId }) =>
        model === 'a' && Number(targetId.split('-')[1]) < 6,
    );
    expect(new Set(ids).size).to.equal(ids.length);
    expect(keptOfA).to.have.length(6);
    expect(
      plan.map(({ model, wanted }) => `${model} ${wanted.role}`),
    ).toMatchSnapshot();
  });

  it('assigns all engines when a model needs more than there are', () => {
    expect(planEngines([modelOf('a', 50)], engines)).to.have.length(20);
  });

  it('keeps the engines of a model when another model needs more', () => {
    expect(idsOf([modelOf('a', 4), modelOf('b', 2)], 'a')).to.deep.equal(
      idsOf([modelOf('a', 4), modelOf('b', 9)], 'a'),
    );
  });
});
