package org.teaselhook.bench.claims;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command {@code claims-bench}: compares strategies for claiming keys. Prints one line for each strategy, load and
 * phase.
 */
@Command(name = "claims-bench", description = "Compares strategies for claiming keys.", mixinStandardHelpOptions = true)
public final class ClaimsCommand implements Callable<Integer> {

    private static final int[] LOAD_FACTORS = {1, 4, 16};
    private static final double AFTER_SECONDS = 10;

    @Option(names = "--rate", description = "claims per second at 1x (default: ${DEFAULT-VALUE})")
    private int rate = 100;

    @Option(names = "--seconds", description = "length of each measured phase (default: ${DEFAULT-VALUE})")
    private double seconds = 8;

    @Option(names = "--outage-seconds", description = "length of the outage (default: ${DEFAULT-VALUE})")
    private double outageSeconds = 60;

    @Option(names = "--seed", description = "seed of the arrivals (default: ${DEFAULT-VALUE})")
    private long seed = 1;

    @Option(names = "--case", split = ",", description = "${COMPLETION-CANDIDATES} (default: all)")
    private Set<Case> cases = EnumSet.allOf(Case.class);

    private ClaimsCommand() {}

    private enum Case {
        LOAD,
        KILL,
        OUTAGE,
        ZONE
    }

    /**
     * Runs the comparison.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ClaimsCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        if (cases.contains(Case.LOAD)) {
            runLoad();
        }
        if (cases.contains(Case.KILL)) {
            runKill();
        }
        if (cases.contains(Case.OUTAGE)) {
            runOutage();
        }
        if (cases.contains(Case.ZONE)) {
            runZoneKill();
        }
        return 0;
    }

    private void runLoad() throws InterruptedException {
        for (int factor : LOAD_FACTORS) {
            for (ClaimStrategy strategy : ClaimStrategy.values()) {
                runLoad(strategy, factor);
            }
        }
    }

    private void runKill() throws InterruptedException {
        for (ClaimStrategy strategy : ClaimStrategy.values()) {
            runKill(strategy);
        }
    }

    /** Runs the strategies concurrently, each on a separate table service. */
    private void runOutage() {
        List<CompletableFuture<Void>> runs = Arrays.stream(ClaimStrategy.values())
                .map(strategy ->
                        CompletableFuture.runAsync(() -> runOutage(strategy), task -> new Thread(task).start()))
                .toList();
        runs.forEach(CompletableFuture::join);
    }

    private void runZoneKill() throws InterruptedException {
        try (ZoneKillRun run = ZoneKillRun.start(rate, seed)) {
            run.run((int) seconds);
        }
    }

    private void runLoad(ClaimStrategy strategy, int factor) throws InterruptedException {
        try (ClaimRun run = ClaimRun.start(strategy, rate * factor, seed)) {
            run.phase("warm-up", 2);
            print(run.phase("steady-" + factor + "x", seconds));
        }
    }

    private void runKill(ClaimStrategy strategy) throws InterruptedException {
        try (ClaimRun run = ClaimRun.start(strategy, rate, seed)) {
            run.phase("warm-up", 2);
            run.killFirstEntry();
            print(run.phase("after-kill-of-one-entry", seconds));
        }
    }

    private void runOutage(ClaimStrategy strategy) {
        try (ClaimRun run = ClaimRun.start(strategy, rate, seed)) {
            run.phase("warm-up", 2);
            run.beginOutage();
            print(run.phase("outage", outageSeconds));
            run.endOutage();
            print(run.phase("after-outage", AFTER_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void print(String line) {
        System.out.println(line);
    }
}
