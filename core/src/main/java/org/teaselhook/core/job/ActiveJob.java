package org.teaselhook.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A job that is not answered yet.
 */
final class ActiveJob {

    /**
     * Who is next: a job that has begun, since its other tasks wait for the rest; then the more urgent route, as the
     * operators rank them; then the job whose latest useful start comes first.
     */
    static final Comparator<ActiveJob> TURN = Comparator.comparing((ActiveJob job) -> !job.hasBegun())
            .thenComparingInt(job -> job.job().route().priority())
            .thenComparing(ActiveJob::latestStart)
            .thenComparing(ActiveJob::sequence);

    private final Job job;
    private final long sequence;
    private final long latestStart;
    private final long giveUpAt;
    private final List<JobTask> tasks = new ArrayList<>();
    private List<JobTask> ready = List.of();
    private long readyCpuMillis;
    private Set<WorkerRecord> workers = Set.of();
    private boolean tasksKnown;
    private boolean begun;
    private boolean ran;

    ActiveJob(Job job, long sequence, long latestStart, long giveUpAt) {
        this.job = job;
        this.sequence = sequence;
        this.latestStart = latestStart;
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

    long latestStart() {
        return latestStart;
    }

    long giveUpAt() {
        return giveUpAt;
    }

    List<JobTask> tasks() {
        return tasks;
    }

    /** Whether some task was ordered. */
    boolean hasBegun() {
        return begun;
    }

    /** Whether some task may have run. */
    boolean mayHaveRun() {
        return ran || tasks.stream().anyMatch(task -> task.placement().isPresent());
    }

    boolean isDone() {
        return tasks.stream().allMatch(JobTask::isDone);
    }

    /** Returns the tasks that wait for a worker, the steps before them being done. */
    List<JobTask> ready() {
        lookThroughTasks();
        return ready;
    }

    /** Looks through the tasks only when one of them has changed: with many jobs in line, all are asked for each. */
    private void lookThroughTasks() {
        if (!tasksKnown) {
            ready = tasks.stream()
                    .filter(task -> task.isWaiting() && isUnlocked(task.step()))
                    .toList();
            readyCpuMillis = ready.stream()
                    .mapToLong(task -> task.step().amounts().cpuMillis())
                    .sum();
            workers = tasks.stream()
                    .flatMap(task -> task.placement().stream())
                    .map(Placement::worker)
                    .collect(Collectors.toSet());
            tasksKnown = true;
        }
    }

    private boolean isUnlocked(Step step) {
        return step.after().stream().allMatch(this::isStepDone);
    }

    private boolean isStepDone(int step) {
        return tasks.stream().filter(task -> task.stepNumber() == step).allMatch(JobTask::isDone);
    }

    /** Returns the processor time that its ready tasks ask for, in thousandths of a core. */
    long readyCpuMillis() {
        lookThroughTasks();
        return readyCpuMillis;
    }

    /** Returns the workers that its tasks are ordered on. */
    Set<WorkerRecord> workers() {
        lookThroughTasks();
        return workers;
    }

    int placedOn(WorkerRecord worker, int step) {
        return Math.toIntExact(IntStream.range(0, tasks.size())
                .mapToObj(tasks::get)
                .filter(task -> task.stepNumber() == step)
                .filter(task ->
                        task.placement().filter(p -> p.worker() == worker).isPresent())
                .count());
    }

    /** Returns what was known of it when it began, as pairs of key and value. */
    Object[] inputs(long nowNanos) {
        return new Object[] {
            "route",
            job.route().name(),
            "tasks",
            tasks.size(),
            "estimate_ms",
            job.chainMillis(),
            "slack_ms",
            TimeUnit.NANOSECONDS.toMillis(latestStart - job.arrivedAt()),
            "waited_ms",
            TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedAt())
        };
    }

    // -- updates

    /** Notes that a task was placed, released or done. */
    void taskChanged() {
        tasksKnown = false;
    }

    void begin() {
        begun = true;
    }

    void ran() {
        ran = true;
    }
}
