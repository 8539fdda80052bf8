package org.teaselhook.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws a sequence of open-loop arrivals whose rate follows the load of a case. */
final class Arrivals {

    private static final int MEAN_SAMPLES = 20_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private Arrivals() {}

    /** Draws a Poisson process by thinning. The same seed gives the same arrivals under every policy. */
    static List<PlannedRequest> draw(long seed, LoadCase load, double seconds, int slots) {
        Random random = new Random(seed);
        double perSecond = slots / meanWorkSeconds();
        double peakPerSecond = perSecond * load.peak();
        List<PlannedRequest> arrivals = new ArrayList<>();
        double atSeconds = 0;
        while (true) {
            atSeconds -= Math.log(1 - random.nextDouble()) / peakPerSecond;
            if (atSeconds >= seconds) {
                return arrivals;
            }
            boolean accepted = random.nextDouble() * load.peak() < load.loadAt(atSeconds / seconds);
            PlannedRequest request = request(arrivals.size(), atSeconds, random);
            if (accepted) {
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
        for (int i = 0; i < MEAN_SAMPLES; i++) {
            sum += request(i, 0, random).workMillis();
        }
        return sum / MEAN_SAMPLES / 1_000;
    }
}
