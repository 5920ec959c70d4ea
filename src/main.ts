#!/usr/bin/env node
/** Entry point of the program: registers the commands and sets the exit code. */
import './commands/early-signals';
import {Command, CommanderError} from 'commander';
import * as site from '../platform/commands';
import * as local from './commands/local';
import * as operators from './commands/operators';
import * as processes from './commands/processes';
import {EXIT} from './settings/command';

function makeProgram(): Command {
  const program = new Command('ferrycleat');
  program
    .description('load balancer for expert-parallel model groups')
    .showHelpAfterError('(see --help)')
    .configureHelp({sortSubcommands: true})
    .exitOverride();
  processes.addEntry(program);
  processes.addSidecar(program);
  processes.addStandins(program);
  operators.addDocumentCommands(program);
  operators.addCheck(program);
  operators.addStatus(program);
  operators.addExplain(program);
  local.addLocal(program);
  site.addSiteCommands(program);
  return program;
}

async function main(): Promise<void> {
  try {
    await makeProgram().parseAsync(process.argv);
  } catch (err) {
    if (!(err instanceof CommanderError)) {
      throw err;
    }
    // Commander has already printed the reason.
    process.exitCode = err.exitCode === EXIT.ok ? EXIT.ok : EXIT.badUsage;
  }
}

void main();
