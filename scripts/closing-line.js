'use strict';
// Jest reporter that prints the numbers of passed and failed tests last.
class ClosingLine {
  onRunComplete(_contexts, results) {
    const {numPassedTests, numFailedTests} = results;
    process.stdout.write(
      `Tests: ${numPassedTests} passed, ${numFailedTests} failed\n`,
    );
  }
}
module.exports = ClosingLine;
