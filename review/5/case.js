'use strict';
/**
 * A model service with little traffic. All processes are killed and start again (the
 * final fault); during these seconds ranks leave the first try of each `hold`
 * unanswered and carry it out late. Some streams follow, then none for a while. More
 * than `recovery-s` later there is ordinary traffic, which has to be served.
 */
const kit = require('../lib-2/kit');
const {ModelSite} = require('../lib-2/model-site');

const RECOVERY_MS = 12_000;
/** applied_late: for 5.5 s, orders carried out 2 to 12 s late; here 2 to 6 s. */
const LATE_MS = 5_500;
const LATE_SPAN_MS = 4_000;
const LEAD_MS = 300;
const DOWN_MS = 590;
/** From the return of the machines to the streams that follow. */
const BURST_AFTER_MS = 2_800;
const STREAMS = 4;
const TOKENS = 8;
const CALM_MS = 5_000;
const LAST_MS = 15_000;
const GAP_MS = 80;

kit.runCase(__dirname, async (site, record, hasTrouble) => {
  const model = new ModelSite(site, record);
  const {group} = model;
  const hasLate = hasTrouble && process.env.LATE !== '0';
  await model.open();
  await model.play(CALM_MS, 2 * GAP_MS);
  const faultAt = performance.now() + LEAD_MS;
  group.lateSpanMs = LATE_SPAN_MS;
  group.losesHolds = hasLate;
  const lateEnds = setTimeout(() => (group.losesHolds = false), LATE_MS);
  await kit.sleep(LEAD_MS);
  if (hasTrouble) {
    record.say('the final fault: all processes are killed');
    await site.killAndRestart(DOWN_MS);
  }
  const backAt = performance.now();
  record.say('the machines are back');
  group.shiftDemand();
  await kit.sleep(BURST_AFTER_MS);
  const streams = Array.from({length: STREAMS}, () =>
    model.send('stream', TOKENS),
  );
  const served = (await Promise.all(streams)).filter(Boolean).length;
  record.say(`${served} of ${STREAMS} streams served`);
  await kit.sleep(backAt + RECOVERY_MS + 500 - performance.now());
  record.say(
    `held: ${model.held.join(' ') || 'none'}, pass ${group.step}, ` +
      `${group.lateOrders} of ${group.orders} orders late`,
  );
  await model.play(LAST_MS, GAP_MS);
  await Promise.all(model.pending);
  clearTimeout(lateEnds);
  const before = model.shares(-Infinity, faultAt);
  const after = model.shares(backAt + RECOVERY_MS);
  record.say(
    `before the final fault ${JSON.stringify(before)}, later than ` +
      `${RECOVERY_MS} ms after the return ${JSON.stringify(after)}; ` +
      `held: ${model.held.join(' ') || 'none'}`,
  );
  // RECOVER: a quarter or more was served before, and under a quarter is later.
  return before.all >= 0.25 && after.all < 0.25;
});
