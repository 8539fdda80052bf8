package org.teaselhook.bench.config;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.teaselhook.bench.process.LogDirectory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The command {@code config-race}.
 */
@Command(
        name = "config-race",
        mixinStandardHelpOptions = true,
        description = "Lets two operators race over faults and restarts, and checks that no accepted change is lost.")
public final class ConfigRaceCommand implements Callable<Integer> {

    private static final int EXIT_VIOLATIONS = 2;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the operators' choices (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seconds", defaultValue = "60", description = "Length of the race (${DEFAULT-VALUE}).")
    private long seconds;

    @Mixin
    private LogDirectory directory;

    private ConfigRaceCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ConfigRaceCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        Path logs = directory.create("config-race");
        ConfigRace race = new ConfigRace(seed, seconds, logs);
        List<String> violations = race.run();
        PrintWriter out = spec.commandLine().getOut();
        violations.forEach(violation -> out.println("violation: " + violation));
        out.println("seed=" + seed + " seconds=" + seconds + " "
                + race.checker().summary() + " violations=" + violations.size() + " logs=" + logs);
        out.flush();
        return violations.isEmpty() ? 0 : EXIT_VIOLATIONS;
    }
}
