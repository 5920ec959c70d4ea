'use strict';
/**
 * All processes are killed and start again (the final fault); for some seconds around
 * that, half of the ranks hand out wrong bytes: the head of a `101` in place of a few
 * of their answers, here of those to `arm`. The traffic goes on. What is sent more than
 * `recovery-s` later has to be served.
 */
const kit = require('../lib-2/kit');
const {ModelSite, SHAPE} = require('../lib-2/model-site');

const RECOVERY_MS = 12_000;
/** garble: share 0.5 of the servers, x 0.03 of their answers, for 5 s. */
const WRONG_SHARE = 0.03;
const WRONG_MS = 5_000;
const LEAD_MS = 300;
const DOWN_MS = 590;
const CALM_MS = 5_000;
const LAST_MS = 15_000;
const GAP_MS = 100;
/** Other experts are in demand. */
const SHIFT_MS = 1_500;

kit.runCase(__dirname, async (site, record, hasTrouble) => {
  const model = new ModelSite(site, record);
  const {group} = model;
  const hasWrong = hasTrouble && process.env.GARBLE !== '0';
  group.isWrongRank = rank => rank.at >= SHAPE.ranks / 2;
  group.wrongOp = 'arm';
  await model.open();
  const shifts = setInterval(() => group.shiftDemand(), SHIFT_MS);
  const traffic = model.play(
    CALM_MS + LEAD_MS + DOWN_MS + RECOVERY_MS + LAST_MS,
    GAP_MS,
  );
  await kit.sleep(CALM_MS);
  const faultAt = performance.now() + LEAD_MS;
  group.beginWrong(hasWrong ? WRONG_SHARE : 0);
  const wrongEnds = setTimeout(() => {
    group.beginWrong(0);
    record.say(`the wrong bytes end: ${group.wrongAnswers}`);
  }, WRONG_MS);
  await kit.sleep(LEAD_MS);
  if (hasTrouble) {
    record.say('the final fault: all processes are killed');
    await site.killAndRestart(DOWN_MS);
  }
  const backAt = performance.now();
  record.say('the machines are back');
  await traffic;
  await Promise.all(model.pending);
  clearInterval(shifts);
  clearTimeout(wrongEnds);
  const before = model.shares(-Infinity, faultAt);
  const after = model.shares(backAt + RECOVERY_MS);
  record.say(
    `before the final fault ${JSON.stringify(before)}, later than ` +
      `${RECOVERY_MS} ms after the return ${JSON.stringify(after)}; ` +
      `held: ${model.held.join(' ') || 'none'}, pass ${group.step}`,
  );
  // RECOVER: a quarter or more was served before, and under a quarter is later.
  return before.all >= 0.25 && after.all < 0.25;
});
