package org.teaselhook.app;

import java.util.Arrays;
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
     * Runs the command and exits with its status: 0 success, 1 failure, 2 wrong usage or settings.
     *
     * @param args the arguments
     */
    public static void main(String[] args) {
        System.exit(execute(args));
    }

    private static int execute(String[] args) {
        Optional<Object> daemon = args.length == 0 ? Optional.empty() : daemon(args[0]);
        return daemon.map(command -> new CommandLine(command).execute(Arrays.copyOfRange(args, 1, args.length)))
                .orElseGet(() -> commandLine().execute(args));
    }

    /**
     * Returns the command of a daemon that is to serve as soon as it can: reading the annotations of all other commands
     * would take half of its start.
     */
    private static Optional<Object> daemon(String name) {
        return switch (name) {
            case "job-entry" -> Optional.of(new JobEntryCommand());
            case "lease-agent" -> Optional.of(new LeaseAgentCommand());
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
