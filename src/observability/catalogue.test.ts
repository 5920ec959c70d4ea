import * as fs from 'node:fs';
import * as path from 'node:path';
import {EVENTS} from './catalogue';

const ROOT = path.join(__dirname, '..', '..');
const page = fs.readFileSync(path.join(ROOT, 'docs', 'EVENTS.md'), 'utf8');

/** Every source file outside tests. */
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

describe('the catalogue of events', () => {
  const rows = page
    .split('\n')
    .filter(line => line.startsWith('| FC'))
    .map(line => line.split('|').map(cell => cell.trim()));

  it('has each event on the page, with its level and text', () => {
    const onPage = rows.map(row => row.slice(1, 4));
    const inCode = Object.values(EVENTS).map(e => [e.id, e.level, e.text]);
    expect(onPage).toEqual(inCode);
  });

  it('says for each event what an operator does', () => {
    expect(rows.filter(row => (row[5] ?? '') === '')).toEqual([]);
  });

  it('gives no number twice', () => {
    const ids = Object.values(EVENTS).map(entry => entry.id);
    expect(new Set(ids).size).toBe(ids.length);
  });

  it('lists no event that the code never writes', () => {
    const sources = readSources(path.join(ROOT, 'src'));
    const unused = Object.keys(EVENTS).filter(
      name => !sources.includes(`'${name}'`),
    );
    expect(unused).toEqual([]);
  });
});
