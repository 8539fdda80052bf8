package org.teaselhook.bench.load;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code bench}: runs cases under each placement policy and prints a line for each. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures response time, waste and throughput of a site of separate processes under load.")
public final class LoadCommand implements Callable<Integer> {

    private static final String DECISIONS = "decisions";

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the arrivals (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seconds", defaultValue = "30", description = "Length of each run (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--case", description = "Cases by name; all of them by default.")
    private List<String> cases = List.of();

    @Option(names = "--policy", split = ",", defaultValue = "grants,random,least-of-two", description = "Policies.")
    private List<String> policies;

    private LoadCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new LoadCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        if (cases.contains(DECISIONS)) {
            DecisionCost.report(seed, out);
            return 0;
        }
        Path logs = Files.createTempDirectory("bench");
        out.println("logs=" + logs);
        for (LoadCase load : chosen()) {
            for (String policy : policies) {
                Path directory = Files.createDirectories(logs.resolve(load.label() + "-" + policy));
                out.println(new LoadRun(load, policy, seed, seconds, directory)
                        .run()
                        .line());
                out.flush();
            }
        }
        return 0;
    }

    private List<LoadCase> chosen() {
        return cases.isEmpty()
                ? Arrays.asList(LoadCase.values())
                : cases.stream()
                        .map(name -> LoadCase.valueOf(name.toUpperCase(Locale.ROOT)))
                        .toList();
    }
}
