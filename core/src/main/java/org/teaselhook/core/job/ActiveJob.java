package org.teaselhook.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A job that has not been answered yet.
 */
final class ActiveJob {

    /**
     * The order in which waiting jobs are served: jobs that have started first, as their finished tasks are of no use
     * without the others; then jobs that can still meet their objective before those that cannot, which take only what
     * capacity the former leave; then by the priority of the route, as set by the operators; then by the latest start.
     */
    static final Comparator<ActiveJob> SCHEDULING_ORDER = Comparator.comparing((ActiveJob job) -> !job.hasStarted())
            .thenComparing(ActiveJob::isLate)
            .thenComparingInt(job -> job.job().route().priority())
            .thenComparing(ActiveJob::latestStart)
            .thenComparing(ActiveJob::sequence);

    /** The maximum number of orders that a log line lists: most jobs have fewer tasks. */
    private static final int MAX_LISTED_ORDERS = 16;

    private final Job job;
    private final long sequence;
    private final long latestStart;
    private final long latestUsefulStart;
    private final long giveUpAt;
    private final List<JobTask> tasks = new ArrayList<>();
    private List<JobTask> ready = List.of();
    private long readyCpuMillis;
    private Set<WorkerRecord> workers = Set.of();
    private boolean taskSummaryValid;
    private boolean started;
    private long firstOrderAt;
    private boolean late;
    private boolean anyTaskRan;

    ActiveJob(Job job, long sequence, long latestStart, long latestUsefulStart, long giveUpAt) {
        this.job = job;
        this.sequence = sequence;
        this.latestStart = latestStart;
        this.latestUsefulStart = latestUsefulStart;
        this.giveUpAt = giveUpAt;
        for (int step = 0; step < job.steps().size(); step++) {
            for (int index = 0; index < job.steps().get(step).tasks(); index++) {
                tasks.add(new JobTask(this, step, index));
            }
        }
    }

    // -- accessors

    Job job() {
        return job;
    }

    long sequence() {
        return sequence;
    }

    /** Returns by when it must start to meet its objective. */
    long latestStart() {
        return latestStart;
    }

    /** Returns by when it must start to be answered, late, while its caller still waits. */
    long latestUsefulStart() {
        return latestUsefulStart;
    }

    long giveUpAt() {
        return giveUpAt;
    }

    List<JobTask> tasks() {
        return tasks;
    }

    /** Whether it is not expected to meet its objective, so that it waits behind the jobs that can. */
    boolean isLate() {
        return late;
    }

    /** Whether it waits behind the jobs that have started or can meet their objective. */
    boolean isDeferred() {
        return late && !started;
    }

    /** Whether at least one task was ordered. */
    boolean hasStarted() {
        return started;
    }

    /** Whether at least one task may have run. */
    boolean mayHaveRun() {
        return anyTaskRan || tasks.stream().anyMatch(task -> task.placement().isPresent());
    }

    boolean isDone() {
        return tasks.stream().allMatch(JobTask::isDone);
    }

    /** Returns the tasks that wait for a worker and whose preceding steps are done. */
    List<JobTask> ready() {
        refreshTaskSummary();
        return ready;
    }

    /** Recomputes the summary only after a task has changed: every placement round reads it for all waiting jobs. */
    private void refreshTaskSummary() {
        if (!taskSummaryValid) {
            ready = tasks.stream()
                    .filter(task -> task.isWaiting() && areDependenciesDone(task.step()))
                    .toList();
            readyCpuMillis = ready.stream()
                    .mapToLong(task -> task.step().amounts().cpuMillis())
                    .sum();
            workers = tasks.stream()
                    .flatMap(task -> task.placement().stream())
                    .map(Placement::worker)
                    .collect(Collectors.toSet());
            taskSummaryValid = true;
        }
    }

    private boolean areDependenciesDone(Step step) {
        return step.after().stream().allMatch(this::isStepDone);
    }

    private boolean isStepDone(int step) {
        return tasks.stream().filter(task -> task.stepNumber() == step).allMatch(JobTask::isDone);
    }

    /** Returns the CPU that the ready tasks request, in thousandths of a core. */
    long readyCpuMillis() {
        refreshTaskSummary();
        return readyCpuMillis;
    }

    /** Returns the workers with orders for its tasks in progress. */
    Set<WorkerRecord> workers() {
        refreshTaskSummary();
        return workers;
    }

    int countPlacedOn(WorkerRecord worker, int step) {
        return Math.toIntExact(IntStream.range(0, tasks.size())
                .mapToObj(tasks::get)
                .filter(task -> task.stepNumber() == step)
                .filter(task ->
                        task.placement().filter(p -> p.worker() == worker).isPresent())
                .count());
    }

    /** Returns the inputs of the decision to start it, as pairs of key and value. */
    Object[] inputs(long nowNanos) {
        return new Object[] {
            "route",
            job.route().name(),
            "tasks",
            tasks.size(),
            "estimate_ms",
            job.criticalPathMillis(),
            "slack_ms",
            TimeUnit.NANOSECONDS.toMillis(latestStart - job.arrivedAt()),
            "waited_ms",
            TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedAt())
        };
    }

    /** Returns the inputs of the decision to end it, as pairs of key and value; ordered_ms is -1 without an order. */
    Object[] endInputs(long nowNanos, String reason) {
        return new Object[] {
            "reason",
            reason,
            "age_ms",
            TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedAt()),
            "ordered_ms",
            started ? TimeUnit.NANOSECONDS.toMillis(nowNanos - firstOrderAt) : -1,
            "orders",
            describeOrders()
        };
    }

    /** Lists the orders in progress, each with its agent. */
    private String describeOrders() {
        List<Placement> placements = tasks.stream()
                .flatMap(task -> task.placement().stream())
                .limit(MAX_LISTED_ORDERS)
                .toList();
        return placements.stream()
                .map(p -> p.number() + "@" + p.worker().name())
                .collect(Collectors.joining(",", "[", "]"));
    }

    // -- updates

    /** Invalidates the summary after a task was placed, released or completed. */
    void taskChanged() {
        taskSummaryValid = false;
    }

    void markLate() {
        late = true;
    }

    void recordFirstOrder(long nowNanos) {
        firstOrderAt = nowNanos;
    }

    void markStarted() {
        started = true;
    }

    void markRan() {
        anyTaskRan = true;
    }
}
