/**
 * Configuration of the `local` command, embedded in the binary. A test checks
 * that it equals examples/demo.yaml.
 */
export const DEMO_DOCUMENTS = `# The site that the local command runs.
kind: template
name: demo
classes:
  interactive: {priority: 0, timeoutMs: 30000}
models:
  assistant: {class: interactive, resumeGraceMs: 5000}
services:
  ledger:
    repeatable:
      - {method: GET, path: /balances}
      - {method: GET, path: /receipts}
      - {method: GET, path: /runs}
    timeoutMs: 5000
    slots: 12
    termMs: 600000
    retentionMs: 3600000
    maxLeadMs: 5000
parameters:
  weight: {default: 1, min: 0.1, max: 10}
  requestsPerSecond: {default: 100, min: 1, max: 10000}
  burst: {default: 200, min: 1, max: 20000}
  concurrent: {default: 200, min: 1, max: 10000}
  timeoutMs: {default: 30000, min: 100, max: 600000}
routing: {subset: 24, hallMs: 3, retryShare: 0.1, maxEjectedShare: 0.34}
placement: {skewWeight: 1, moveWeight: 1, horizonMs: 600000, periodMs: 10000}
---
kind: account
id: demo
template: demo
keyDigests:
  - 3a144c6d8b88728d4ac74c90e77c87f526b4c4df5c5cfbc51595b90070d4975b
parameters: {}
`;
