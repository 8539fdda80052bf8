package org.teaselhook.bench.load;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code bench}: runs cases under each placement policy and prints one line of results for each run. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures response time, waste and throughput of a site of separate processes under load.")
public final class LoadCommand implements Callable<Integer> {

    private static final String DECISIONS = "decisions";
    private static final String BOUND = "bound";

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
        System.exit(commandLine().execute(arguments));
    }

    static CommandLine commandLine() {
        return new CommandLine(new LoadCommand());
    }

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        if (cases.contains(DECISIONS)) {
            DecisionCost.report(seed, out);
            return 0;
        }
        if (cases.contains(BOUND)) {
            Arrays.stream(QueueOrder.values()).map(this::boundLine).forEach(out::println);
            return 0;
        }
        List<LoadCase> selected = selectedCases();
        Path logs = Files.createTempDirectory("bench");
        out.println("logs=" + logs);
        for (LoadCase load : selected) {
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

    /** Returns the slowdowns of one ideal central queue over all slots, with the arrivals of {@code steady70}. */
    private String boundLine(QueueOrder order) {
        List<PlannedRequest> arrivals = Arrivals.draw(seed, LoadCase.STEADY70, seconds, LoadRun.TOTAL_SLOTS);
        Histogram slowdowns = new IdealQueue(order, LoadRun.TOTAL_SLOTS).slowdowns(arrivals);
        return String.format(
                Locale.ROOT,
                "case=bound load=steady70 order=%s seed=%d seconds=%d submissions=%d p50=%.3f p99=%.3f p99.9=%.3f",
                order.label(),
                seed,
                seconds,
                slowdowns.getTotalCount(),
                LoadRecord.slowdown(slowdowns, 50),
                LoadRecord.slowdown(slowdowns, 99),
                LoadRecord.slowdown(slowdowns, 99.9));
    }

    private List<LoadCase> selectedCases() {
        return cases.isEmpty()
                ? Arrays.asList(LoadCase.values())
                : cases.stream().map(this::caseNamed).toList();
    }

    private LoadCase caseNamed(String name) {
        return LoadCase.ofLabel(name)
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(), "no case is named " + name + "; choose from " + caseNames()));
    }

    private static String caseNames() {
        String measured = Arrays.stream(LoadCase.values()).map(LoadCase::label).collect(Collectors.joining(", "));
        return String.join(", ", measured, DECISIONS, BOUND);
    }
}
