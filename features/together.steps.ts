import * as path from 'node:path';
import {StepDefinitions, autoBindSteps, loadFeature} from 'jest-cucumber';
import * as random from '../src/random';
import * as chaos from './support/chaos';
import type {Fleet} from './support/fleet';

const feature = loadFeature(path.join(__dirname, 'together.feature'));

let fleet: Fleet;
let report: chaos.ChaosReport;

afterEach(async () => fleet.close());

const steps: StepDefinitions = ({given, when, then}) => {
  given(/^a fleet with two entries/, async () => {
    fleet = await chaos.startChaosFleet();
  });

  when(
    /^failures drawn from seed (\d+) hit it for (\d+)/,
    async (seed: string, seconds: string) => {
      random.seed(Number(seed));
      report = await new chaos.ChaosRun(fleet).run(Number(seconds) * 1_000);
    },
  );

  then('every promise held', () => {
    expect(report.violations).toEqual([]);
  });

  then('most of the work was done', () => {
    // In numbers: a line whose entry is dead tries again at once, so shares
    // of the tries say how long entries were dead, and not what was done.
    expect(report.wholeStreams).toBeGreaterThan(20);
    expect(report.answeredTopUps).toBeGreaterThan(5);
  });
};

autoBindSteps([feature], [steps]);
