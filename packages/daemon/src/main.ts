// The command line: `gingerlock serve` and `gingerlock borrowing`.
import { Command } from 'commander';
import { version } from '../package.json';
import type { BorrowingOptions } from './cli/borrowing-command';
import { loadSettings, SettingsError } from './settings/settings';

const program = new Command('gingerlock')
  .description('A scheduler for fleets that serve language models')
  .version(version)
  .showHelpAfterError()
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : 2));

program
  .command('serve')
  .description('run one controller until the process is killed')
  .requiredOption('--config <file>', "the platform's settings (JSON)")
  .option('--operators <file>', "the operators' settings (YAML); GINGERLOCK_OPERATORS names it too")
  .option('--features <file>', 'which features are on (YAML); GINGERLOCK_FEATURES names it too')
  .action(async (options: { config: string; operators?: string; features?: string }) => {
    try {
      const settings = loadSettings({
        platform: options.config,
        operators: options.operators ?? process.env.GINGERLOCK_OPERATORS ?? null,
        features: options.features ?? process.env.GINGERLOCK_FEATURES ?? null,
      });
      // Imported late, because help, version and settings errors don't need it.
      const { serve } = await import('./serve');
      await serve(settings);
    } catch (error) {
      process.stderr.write(`gingerlock: ${error instanceof Error ? error.message : String(error)}\n`);
      process.exit(error instanceof SettingsError ? 2 : 1);
    }
  });

program
  .command('borrowing')
  .description('show what teams lend and borrow, and reclaims of GPUs, from the logs of controllers')
  .option('--log <file>', 'the logs; standard input if it is not given')
  .option('--team <name>', 'this team alone')
  .option('--json', 'one JSON object instead of tables')
  .addHelpText('after', '\nExample:\n  gingerlock borrowing --log controllers.log --team vision')
  .action(async (options: BorrowingOptions) => {
    const { borrowingCommand } = await import('./cli/borrowing-command');
    const { status, out, error } = await borrowingCommand(options, process.stdin);
    process.stdout.write(out);
    process.stderr.write(error);
    process.exitCode = status;
  });

void program.parseAsync();
