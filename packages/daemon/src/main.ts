import { Command } from 'commander';
import { loadSettings, SettingsError } from './settings';
import { version } from '../package.json';

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
  .action(async (options: { config: string; operators?: string }) => {
    try {
      const settings = loadSettings(options.config, options.operators ?? process.env.GINGERLOCK_OPERATORS ?? null);
      // Loaded only now: help, version and a settings error need none of it.
      const { serve } = await import('./serve');
      await serve(settings);
    } catch (error) {
      process.stderr.write(`gingerlock: ${error instanceof Error ? error.message : String(error)}\n`);
      process.exit(error instanceof SettingsError ? 2 : 1);
    }
  });

void program.parseAsync();
