package org.teaselhook.app.ctl;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The operators' command {@code ctl}.
 */
@Command(
        name = "ctl",
        description = "Checks, shows and applies the rules file, and takes availability zones out of service.",
        mixinStandardHelpOptions = true,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done; with --wait also in force",
            "1:failed in an unexpected way",
            "2:wrong usage",
            "3:the rules file has bad lines; nothing changed",
            "4:another version is current than the one expected; nothing changed",
            "5:no entry, or no table service, could be reached; nothing changed",
            "6:the change may have been accepted; run again with the operation id printed",
            "7:accepted, but not in force everywhere when the wait ended"
        },
        subcommands = {RulesCommand.class, ZoneCommand.class, StatusCommand.class})
public final class CtlCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is required: rules, zone or status");
    }
}
