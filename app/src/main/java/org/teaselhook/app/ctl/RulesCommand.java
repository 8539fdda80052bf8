package org.teaselhook.app.ctl;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The commands on the rules file.
 */
@Command(
        name = "rules",
        description = "Checks, shows and applies the rules file.",
        mixinStandardHelpOptions = true,
        subcommands = {
            RulesCheckCommand.class,
            RulesShowCommand.class,
            RulesApplyCommand.class,
            RulesHistoryCommand.class
        })
final class RulesCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is required: check, show, apply or history");
    }
}
