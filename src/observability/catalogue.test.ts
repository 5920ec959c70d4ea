import * as fs from 'node:fs';
import * as path from 'node:path';
import {EVENTS} from './catalogue';

const ROOT = path.join(__dirname, '..', '..');
const page = fs.readFileSync(path.join(ROOT, 'docs', 'EVENTS.md'), 'utf8');

/** Contents of all source files except tests. */
function readSources(folder: string): string {
  return fs
    .readdirSync(folder, {withFileTypes: true})
    .map(entry => {
      const file = path.join(folder, entry.name);
      if (entry.isDirectory()) {
        return readSources(file);
      }
      const isSource = file.endsWith('.ts') && !file.endsWith('.test.ts');
      return isSource ? fs.readFileSync(file, 'utf8') : '';
    })
    .join('\n');
}

describe('event catalogue', () => {
  const rows = page
    .split('\n')
    .filter(line => line.startsWith('| FC'))
    .map(line => line.split('|').map(cell => cell.trim()));

  it('matches the rows of docs/EVENTS.md in number, level and text', () => {
    const onPage = rows.map(row => row.slice(1, 4));
    const inCode = Object.values(EVENTS).map(e => [e.id, e.level, e.text]);
    expect(onPage).toEqual(inCode);
  });

  it('documents an operator action for each event', () => {
    expect(rows.filter(row => (row[5] ?? '') === '')).toEqual([]);
  });

  it('has unique event numbers', () => {
    const ids = Object.values(EVENTS).map(entry => entry.id);
    expect(new Set(ids).size).toBe(ids.length);
  });

  it('contains only events that the code logs', () => {
    const sources = readSources(path.join(ROOT, 'src'));
    const unused = Object.keys(EVENTS).filter(
      name => !sources.includes(`'${name}'`),
    );
    expect(unused).toEqual([]);
  });
});
