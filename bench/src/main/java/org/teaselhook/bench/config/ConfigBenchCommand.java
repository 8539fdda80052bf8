package org.teaselhook.bench.config;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.teaselhook.bench.process.LogDirectory;
import org.teaselhook.bench.process.SitePlan;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The command {@code config-bench}.
 */
@Command(
        name = "config-bench",
        mixinStandardHelpOptions = true,
        description = "Measures the time from a change to its being in force everywhere, and its reads and bytes.")
public final class ConfigBenchCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(names = "--entries", defaultValue = "3", description = "Number of entries (${DEFAULT-VALUE}).")
    private int entries;

    @Option(names = "--agents", defaultValue = "12", description = "Number of agents (${DEFAULT-VALUE}).")
    private int agents;

    @Option(names = "--changes", defaultValue = "60", description = "Number of changes (${DEFAULT-VALUE}).")
    private int changes;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the pauses (${DEFAULT-VALUE}).")
    private long seed;

    @Mixin
    private LogDirectory directory;

    private ConfigBenchCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ConfigBenchCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        Path logs = directory.create("config-bench");
        SitePlan plan = SitePlan.standard().withProcesses(entries, agents);
        new ConfigBench(plan, changes, seed, logs)
                .run()
                .print(spec.commandLine().getOut());
        return 0;
    }
}
