import { expect } from 'chai';
import {
  sign,
  startTestGateway,
  testConfig,
  type TestGateway,
} from '../../../testGateway/index.ts';

const engine = {
  slots: 4,
  memoryTokens: 100_000,
  stepsPerPass: 51,
  stepMs: 0.85,
  stepMsPerWriter: 0.006,
  stepMsPerContextK: 0.00285,
  readTokensPerMs: 177,
  readMsPerMillionPairs: 0.184,
  helperStepMs: 0.05,
};

describe('endivegate_prediction_error_ms', () => {
  let fleet: TestGateway;

  afterEach(() => fleet.stop());

  /** Sends one stream, and returns the number of samples by class. */
  async function samplesOf(promptTokens: number | undefined) {
    fleet = await startTestGateway({
      targets: [
        (request, response) => {
          sign(request, response);
          response.end('id: 1\ndata: e1\n\n');
        },
      ],
    });
    const config = testConfig();
    const services = config.services.map((one) => ({ ...one, engine }));
    fleet.gateway.runtime.applyConfig(
      { ...config, version: 2, services },
      'test',
    );
    const headers =
      promptTokens === undefined
        ? {}
        : { 'x-prompt-tokens': String(promptTokens) };
    const { status } = await fleet.ask('/1', headers);
    expect(status).to.equal(200);
    const text = await fleet.metrics.text();
    return [...text.matchAll(/prediction_error_ms_count(.*)/g)].map(
      ([, sample]) => sample,
    );
  }

  // Errors of long prompts hid those of short ones.
  it('counts short and long prompts apart', async () => {
    expect(await samplesOf(1000)).to.deep.equal(['{class="short"} 1']);
    await fleet.stop();
    expect(await samplesOf(90_000)).to.deep.equal(['{class="long"} 1']);
  });

  // A stream without a prediction counted as an error of 0.
  it('leaves out sends without a prediction', async () => {
    expect(await samplesOf(undefined)).to.deep.equal([]);
  });
});
