package org.teaselhook.bench.capacity;

import java.io.PrintWriter;
import java.util.Collection;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Runs the benchmarks of the decision functions and prints the time and the bytes allocated for each decision. */
final class DecisionBenchmarks {

    private static final TimeValue WARM_UP = TimeValue.milliseconds(400);
    private static final TimeValue ITERATION = TimeValue.milliseconds(400);
    private static final int ITERATIONS = 3;
    private static final String ALLOCATED_BYTES = "gc.alloc.rate.norm";

    private final CapacityRun run;

    DecisionBenchmarks(CapacityRun run) {
        this.run = run;
    }

    void run() throws RunnerException {
        measure(DispatcherBenchmark.class);
        measure(AgentBenchmark.class);
    }

    private void measure(Class<?> benchmarks) throws RunnerException {
        Options options = new OptionsBuilder()
                .include(benchmarks.getName().replace(".", "\\."))
                .mode(Mode.AverageTime)
                .timeUnit(TimeUnit.NANOSECONDS)
                .forks(1)
                .warmupIterations(ITERATIONS)
                .warmupTime(WARM_UP)
                .measurementIterations(ITERATIONS)
                .measurementTime(ITERATION)
                .jvmArgs("-Xmx1g")
                .addProfiler(GCProfiler.class)
                .verbosity(VerboseMode.SILENT)
                .build();
        print(new Runner(options).run());
    }

    private void print(Collection<RunResult> results) {
        PrintWriter out = run.out();
        for (RunResult result : results) {
            out.println("part=decisions function=" + function(result) + " " + parameters(result) + " nanos="
                    + format(result.getPrimaryResult().getScore()) + " nanos_error="
                    + format(result.getPrimaryResult().getStatistics().getStandardDeviation()) + " bytes="
                    + format(result.getSecondaryResults().get(ALLOCATED_BYTES).getScore()));
        }
        out.flush();
    }

    private static String function(RunResult result) {
        String name = result.getParams().getBenchmark();
        return name.substring(name.lastIndexOf('.') + 1);
    }

    private static String parameters(RunResult result) {
        return result.getParams().getParamsKeys().stream()
                .map(key -> key + "=" + result.getParams().getParam(key))
                .collect(Collectors.joining(" "));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.0f", value);
    }
}
