package review;

import java.util.List;

/**
 * An agent stands still for 0.32 s while its entry gives a job up and sends the stop of its run. After waking, the agent
 * discards the stop with its connections, and nobody sends it again: the run goes on beside the one of the resent job.
 */
public final class LostStop {

    private static final int ROUNDS = 3;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final int RETRANSMIT_MILLIS = 1_300;
    private static final long FREEZE_AT_MILLIS = 1_200;
    private static final long FREEZE_MILLIS = 320;
    private static final int TASKS = 4;
    private static final long WORK_MILLIS = 3_600;
    private static final long ESTIMATE_MILLIS = 2_600;

    private LostStop() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], LostStop::run);
    }

    private static boolean run(Record record, boolean trouble) throws Exception {
        try (Site site = new Site(record, 2, 4)) {
            site.awaitServing();
            for (int round = 1; round <= ROUNDS; round++) {
                round(site, trouble, String.format("%016x", 0xbb00 + round));
                Worker.sleep(4_500);
            }
            List<Worker.Run[]> overlaps = site.overlaps();
            for (Worker.Run[] pair : overlaps) {
                record.line("TWICE: %s run %d on %s from %.3f to %.3f (%s), and run %d on %s from %.3f to %.3f (%s)",
                        pair[0].task, pair[0].number, pair[0].worker, pair[0].startedAt, pair[0].endedAt, pair[0].how,
                        pair[1].number, pair[1].worker, pair[1].startedAt, pair[1].endedAt, pair[1].how);
            }
            return !overlaps.isEmpty();
        }
    }

    private static void round(Site site, boolean trouble, String job) throws Exception {
        Record record = site.record;
        Thread freezer = new Thread(() -> {
            Worker.sleep(FREEZE_AT_MILLIS);
            String worker = site.runs.stream()
                    .filter(run -> run.task.startsWith(job))
                    .map(run -> run.worker)
                    .findFirst()
                    .orElseThrow();
            Program agent = site.agents.get(Integer.parseInt(worker.substring(2)) - 1);
            record.line("%s freezes", agent.name());
            agent.signal("STOP");
            Worker.sleep(FREEZE_MILLIS);
            agent.signal("CONT");
            record.line("%s wakes", agent.name());
        });
        if (trouble) {
            freezer.start();
        }
        Site.Answer first = site.submit(0, job, WORK_MILLIS, ESTIMATE_MILLIS, TASKS, DEADLINE_MILLIS);
        if (first.status() != 0 && first.status() != 502 && first.status() != 504) {
            throw new IllegalStateException("the first try was answered with " + first.status());
        }
        Worker.sleep(RETRANSMIT_MILLIS);
        site.submit(1, job, WORK_MILLIS, ESTIMATE_MILLIS, TASKS, DEADLINE_MILLIS);
        freezer.join();
    }
}
