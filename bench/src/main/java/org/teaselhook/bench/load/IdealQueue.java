package org.teaselhook.bench.load;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.HdrHistogram.Histogram;

/**
 * One central queue before all slots, without any latency beyond that of the ideal: what no placement can better by
 * more than another order of the queue would. A pure computation.
 */
final class IdealQueue {

    private static final double NANOS_PER_MILLI = 1e6;

    private final QueueOrder order;
    private final int slots;
    private final PriorityQueue<Double> busyUntil = new PriorityQueue<>();
    private final PriorityQueue<Waiting> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Waiting::keyMillis).thenComparingLong(Waiting::sequence));
    private long sequence;

    IdealQueue(QueueOrder order, int slots) {
        this.order = order;
        this.slots = slots;
    }

    /** A task that waits. */
    private record Waiting(int request, double keyMillis, double runMillis, long sequence) {}

    /**
     * Measures each request's response time over its ideal.
     *
     * @param arrivals the requests, by time
     * @return one ratio for each request, 1 or more
     */
    Histogram ratios(List<PlannedRequest> arrivals) {
        double[] ends = endMillis(arrivals);
        Histogram ratios = LoadRecord.emptyRatios();
        for (int i = 0; i < ends.length; i++) {
            LoadRecord.add(ratios, ratio(arrivals.get(i), ends[i]));
        }
        return ratios;
    }

    private static double ratio(PlannedRequest request, double endMillis) {
        double longest = request.runMillis().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
        double ideal = request.idealMillis(LoadRun.HOP_MILLIS);
        double late = endMillis - atMillis(request) - longest;
        return (ideal + late) / ideal;
    }

    /** Returns when the last task of each request ends. */
    private double[] endMillis(List<PlannedRequest> arrivals) {
        double[] ends = new double[arrivals.size()];
        int next = 0;
        while (next < ends.length || !queue.isEmpty()) {
            double arrival = next < ends.length ? atMillis(arrivals.get(next)) : Double.MAX_VALUE;
            double now = queue.isEmpty() ? arrival : Math.min(arrival, busyUntil.peek());
            if (arrival <= now) {
                enqueue(next, arrivals.get(next));
                next++;
            }
            start(now, ends);
        }
        return ends;
    }

    private void enqueue(int index, PlannedRequest request) {
        for (int task = 0; task < request.tasks(); task++) {
            double key = order.keyMillis(request, task);
            queue.add(new Waiting(index, key, request.runMillis().get(task), sequence++));
        }
    }

    /** Starts waiting tasks in the slots that are free by now. */
    private void start(double nowMillis, double[] ends) {
        while (!busyUntil.isEmpty() && busyUntil.peek() <= nowMillis) {
            busyUntil.poll();
        }
        while (busyUntil.size() < slots && !queue.isEmpty()) {
            Waiting task = queue.poll();
            double end = nowMillis + task.runMillis();
            busyUntil.add(end);
            ends[task.request()] = Math.max(ends[task.request()], end);
        }
    }

    private static double atMillis(PlannedRequest request) {
        return request.atNanos() / NANOS_PER_MILLI;
    }
}
