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
 * Compares the ways of claiming keys. One line for each way, load and phase.
 */
@Command(name = "claims-bench", description = "Compares ways of claiming keys.", mixinStandardHelpOptions = true)
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
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ClaimsCommand()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        if (cases.contains(Case.LOAD)) {
            underLoad();
        }
        if (cases.contains(Case.KILL)) {
            afterKill();
        }
        if (cases.contains(Case.OUTAGE)) {
            inOutage();
        }
        if (cases.contains(Case.ZONE)) {
            afterKillOfZone();
        }
        return 0;
    }

    private void underLoad() throws InterruptedException {
        for (int factor : LOAD_FACTORS) {
            for (ClaimWay way : ClaimWay.values()) {
                underLoad(way, factor);
            }
        }
    }

    private void afterKill() throws InterruptedException {
        for (ClaimWay way : ClaimWay.values()) {
            afterKill(way);
        }
    }

    /** Runs the ways at the same time, each on a table service of its own. */
    private void inOutage() {
        List<CompletableFuture<Void>> runs = Arrays.stream(ClaimWay.values())
                .map(way -> CompletableFuture.runAsync(() -> inOutage(way), task -> new Thread(task).start()))
                .toList();
        runs.forEach(CompletableFuture::join);
    }

    private void afterKillOfZone() throws InterruptedException {
        try (ZoneKillRun run = ZoneKillRun.start(rate, seed)) {
            run.run((int) seconds);
        }
    }

    private void underLoad(ClaimWay way, int factor) throws InterruptedException {
        try (ClaimRun run = ClaimRun.start(way, rate * factor, seed)) {
            run.phase("warm-up", 2);
            print(run.phase("steady-" + factor + "x", seconds));
        }
    }

    private void afterKill(ClaimWay way) throws InterruptedException {
        try (ClaimRun run = ClaimRun.start(way, rate, seed)) {
            run.phase("warm-up", 2);
            run.killFirst();
            print(run.phase("after-kill-of-one-entry", seconds));
        }
    }

    private void inOutage(ClaimWay way) {
        try (ClaimRun run = ClaimRun.start(way, rate, seed)) {
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
