package org.teaselhook.app;

import java.nio.file.Path;
import java.util.Optional;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The {@code teaselhook} command and its subcommands.
 */
@Command(
        name = "teaselhook",
        description = "A dispatcher for sub-second tasks.",
        mixinStandardHelpOptions = true,
        version = "teaselhook 0.1.0",
        subcommands = {
            EntryCommand.class,
            AgentCommand.class,
            JobEntryCommand.class,
            LeaseAgentCommand.class,
            TableCommand.class,
            ExplainCommand.class,
            LocalCommand.class,
            org.teaselhook.app.ctl.CtlCommand.class
        })
public final class Main {

    private Main() {}

    /**
     * Runs the command and exits with its status: 0 for success, 1 for failure, 2 for wrong usage or settings.
     *
     * @param args the arguments
     * @throws InterruptedException if a daemon is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        System.exit(execute(args));
    }

    private static int execute(String[] args) throws InterruptedException {
        Optional<Daemon.Run> daemon = daemon(args);
        return daemon.isPresent()
                ? daemon.get().run(SettingsOption.of(Path.of(args[2])))
                : commandLine().execute(args);
    }

    /**
     * Returns the daemon of a command line in the form used by deploy/system.toml, without picocli. Daemons should
     * serve as soon as possible after a start, and processing the annotations of the commands would take a fifth of
     * that time.
     */
    private static Optional<Daemon.Run> daemon(String[] args) {
        if (args.length != 3 || !args[1].equals("--settings")) {
            return Optional.empty();
        }
        return switch (args[0]) {
            case "job-entry" -> Optional.of(JobEntryCommand::run);
            case "lease-agent" -> Optional.of(LeaseAgentCommand::run);
            default -> Optional.empty();
        };
    }

    /**
     * Returns the command line, for tests.
     *
     * @return the command line
     */
    public static CommandLine commandLine() {
        return new CommandLine(new Main());
    }
}
