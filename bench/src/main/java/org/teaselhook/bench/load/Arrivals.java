package org.teaselhook.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws an open-loop sequence of arrivals whose rate follows a case's load. */
final class Arrivals {

    private static final int MEAN_DRAWS = 20_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private Arrivals() {}

    /** Draws a Poisson process by thinning: the same seed gives the same arrivals under every policy. */
    static List<PlannedRequest> draw(long seed, LoadCase load, double seconds, int slots) {
        Random random = new Random(seed);
        double perSecond = slots / meanWorkSeconds();
        double peak = perSecond * load.peak();
        List<PlannedRequest> arrivals = new ArrayList<>();
        double at = 0;
        while (true) {
            at -= Math.log(1 - random.nextDouble()) / peak;
            if (at >= seconds) {
                return arrivals;
            }
            boolean kept = random.nextDouble() * load.peak() < load.at(at / seconds);
            PlannedRequest request = request(arrivals.size(), at, random);
            if (kept) {
                arrivals.add(request);
            }
        }
    }

    private static PlannedRequest request(long number, double atSeconds, Random random) {
        RequestKind kind = RequestKind.draw(random);
        int tasks = kind.drawTasks(random);
        List<Double> runMillis = new ArrayList<>(tasks);
        for (int i = 0; i < tasks; i++) {
            runMillis.add(kind.runTime().sampleMillis(random));
        }
        return new PlannedRequest(number, kind, (long) (atSeconds * NANOS_PER_SECOND), runMillis);
    }

    private static double meanWorkSeconds() {
        Random random = new Random(1);
        double sum = 0;
        for (int i = 0; i < MEAN_DRAWS; i++) {
            sum += request(i, 0, random).workMillis();
        }
        return sum / MEAN_DRAWS / 1_000;
    }
}
