package org.teaselhook.app;

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
        System.exit(commandLine().execute(args));
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
