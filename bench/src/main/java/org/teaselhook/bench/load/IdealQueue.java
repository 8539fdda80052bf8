package org.teaselhook.bench.load;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.HdrHistogram.Histogram;

/**
 * Simulates one central queue for all slots, without latencies beyond those of the ideal response time. No placement
 * policy with the same queue order can achieve lower slowdowns.
 */
final class IdealQueue {

    private static final double NANOS_PER_MILLI = 1e6;

    private final QueueOrder order;
    private final int slots;
    private final PriorityQueue<Double> busyUntil = new PriorityQueue<>();
    private final PriorityQueue<QueuedTask> queue = new PriorityQueue<>(
            Comparator.comparingDouble(QueuedTask::keyMillis).thenComparingLong(QueuedTask::sequence));
    private long sequence;

    IdealQueue(QueueOrder order, int slots) {
        this.order = order;
        this.slots = slots;
    }

    /** A queued task. */
    private record QueuedTask(int request, double keyMillis, double runMillis, long sequence) {}

    /**
     * Computes the slowdown of each request: its response time divided by its ideal response time.
     *
     * @param arrivals the requests, sorted by time
     * @return one slowdown for each request, at least 1
     */
    Histogram slowdowns(List<PlannedRequest> arrivals) {
        double[] ends = endMillis(arrivals);
        Histogram slowdowns = LoadRecord.emptySlowdowns();
        for (int i = 0; i < ends.length; i++) {
            LoadRecord.add(slowdowns, slowdown(arrivals.get(i), ends[i]));
        }
        return slowdowns;
    }

    private static double slowdown(PlannedRequest request, double endMillis) {
        double longestMillis = request.runMillis().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
        double idealMillis = request.idealMillis(LoadRun.HOP_MILLIS);
        double delayMillis = endMillis - atMillis(request) - longestMillis;
        return (idealMillis + delayMillis) / idealMillis;
    }

    /** Returns the end time of the last task of each request. */
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
            startTasks(now, ends);
        }
        return ends;
    }

    private void enqueue(int index, PlannedRequest request) {
        for (int task = 0; task < request.tasks(); task++) {
            double key = order.keyMillis(request, task);
            queue.add(new QueuedTask(index, key, request.runMillis().get(task), sequence++));
        }
    }

    /** Starts waiting tasks in the slots that are free. */
    private void startTasks(double nowMillis, double[] ends) {
        while (!busyUntil.isEmpty() && busyUntil.peek() <= nowMillis) {
            busyUntil.poll();
        }
        while (busyUntil.size() < slots && !queue.isEmpty()) {
            QueuedTask task = queue.poll();
            double end = nowMillis + task.runMillis();
            busyUntil.add(end);
            ends[task.request()] = Math.max(ends[task.request()], end);
        }
    }

    private static double atMillis(PlannedRequest request) {
        return request.atNanos() / NANOS_PER_MILLI;
    }
}
