package org.teaselhook.app.ctl;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Checks a rules file offline.
 */
@Command(
        name = "check",
        description = "Checks a rules file offline and reports every invalid line.",
        mixinStandardHelpOptions = true)
final class RulesCheckCommand implements Callable<Integer> {

    @Mixin
    private Output output;

    @Parameters(paramLabel = "FILE", description = "The rules file.")
    private Path path;

    @Override
    public Integer call() {
        return new RulesFile(path, output).ifValid(text -> printValid()).code();
    }

    private ExitCode printValid() {
        if (output.isJson()) {
            output.print(Output.object().put("outcome", ExitCode.DONE.name()));
        } else {
            output.out().println(path + ": every line is valid");
        }
        return ExitCode.DONE;
    }
}
