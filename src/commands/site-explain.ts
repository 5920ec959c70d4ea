/** The command `site explain`: the course of one request, from log files. */
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import {EXIT} from '../settings/command';
import {CourseReader} from './request-course';
import {formatCourse} from './request-course-text';

const STANDARD_INPUT = '-';

/** Prints the course of a request; sets the exit code. */
export async function explain(
  request: string,
  files: readonly string[],
): Promise<void> {
  const reader = new CourseReader(request);
  for (const file of files) {
    try {
      await readLines(file, line => reader.addLine(line));
    } catch (err) {
      process.stderr.write(`error: ${file}: ${(err as Error).message}\n`);
      process.exitCode = EXIT.badUsage;
      return;
    }
  }
  const course = reader.course();
  process.stdout.write(formatCourse(course) + '\n');
  if (course.steps.length === 0) {
    process.stderr.write(`error: no line has the request ${request}\n`);
    process.exitCode = EXIT.failed;
  }
}

async function readLines(
  file: string,
  onLine: (line: string) => void,
): Promise<void> {
  const input =
    file === STANDARD_INPUT ? process.stdin : fs.createReadStream(file);
  // Unlike events, iteration rejects where the file can't be read.
  for await (const line of readline.createInterface({
    input,
    crlfDelay: Infinity,
  })) {
    onLine(line);
  }
}
