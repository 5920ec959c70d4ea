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
    /^faults drawn from seed (\d+) are injected for (\d+)/,
    async (seed: string, seconds: string) => {
      random.seed(Number(seed));
      report = await new chaos.ChaosRun(fleet).run(Number(seconds) * 1_000);
    },
  );

  then('every guarantee held', () => {
    expect(report.violations).toEqual([]);
  });

  then('streams and top-ups were completed', () => {
    // Counts, not shares: a client retries at once while its entry is down, so the
    // share of failed attempts depends on the downtime.
    expect(report.wholeStreams).toBeGreaterThan(20);
    expect(report.answeredTopUps).toBeGreaterThan(5);
  });
};

autoBindSteps([feature], [steps]);
