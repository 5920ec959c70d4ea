import * as fs from 'node:fs';
import * as path from 'node:path';
import * as fc from 'fast-check';
import {DEMO_DOCUMENTS} from '../commands/demo';
import * as parse from './parse';

const EXAMPLES = path.join(__dirname, '..', '..', 'examples');

describe('configuration files', () => {
  it('contain the built-in demo site unchanged', () => {
    const file = path.join(EXAMPLES, 'demo.yaml');
    expect(DEMO_DOCUMENTS).toBe(fs.readFileSync(file, 'utf8'));
  });

  it('are valid as shipped', () => {
    for (const name of fs.readdirSync(EXAMPLES)) {
      const text = fs.readFileSync(path.join(EXAMPLES, name), 'utf8');
      const parsed = parse.parseFile(text);
      expect(
        parsed.ok ? parse.validateAccounts(parsed.value) : parsed.error,
      ).toEqual([]);
    }
  });

  it('give the line and the field of an error', () => {
    const text = DEMO_DOCUMENTS.replace('timeoutMs: 5000', 'timeoutMs: 5');
    const parsed = parse.parseFile(text);
    expect(parsed.ok ? [] : parsed.error).toMatchObject([
      {path: 'services.ledger.timeoutMs', detail: 'at least 10 ms'},
    ]);
    const found = parsed.ok ? 0 : parsed.error[0]!.line;
    expect(text.split('\n')[found - 1]).toContain('timeoutMs: 5');
  });

  it('never make the parser throw', () => {
    fc.assert(
      fc.property(fc.string(), text => {
        parse.parseFile(text);
      }),
      {numRuns: 300, seed: 3},
    );
  });
});
