'use strict';
// A jest reporter that ends with one plain line of counts.
class ClosingLine {
  onRunComplete(_contexts, results) {
    const {numPassedTests, numFailedTests} = results;
    process.stdout.write(
      `Tests: ${numPassedTests} passed, ${numFailedTests} failed\n`,
    );
  }
}
module.exports = ClosingLine;
