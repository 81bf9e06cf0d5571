import { lengthClassSchema } from '@endivegate/contracts';
import { expect } from 'chai';
import { enginePriorityOf } from './index.ts';

describe('enginePriorityOf', () => {
  it('ranks by length class first, then by table priority', () => {
    const priorities = lengthClassSchema.options.flatMap((lengthClass) =>
      [0, 5, 9].map((priority) => enginePriorityOf({ lengthClass, priority })),
    );
    expect(priorities).toMatchSnapshot();
  });
});
