import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One worker of ten leaves its orders unanswered and carries them out 4 s later; its lists are answered. Jobs whose
 * tasks run there, which give no estimate and take too long, are answered with 504, and are sent again 1,300 ms later, as callers do.
 * No task may run twice at the same time.
 */
final class CaseUnansweredStops {

    private static final int WORKERS = 10;
    private static final int JOBS = 8;
    private static final int BACKGROUND_CLIENTS = 8;
    private static final long RETRANSMIT_MILLIS = 1_300;
    private static final long TROUBLE_MILLIS = 5_500;
    private static final long CALLER_WAITS_MILLIS = 1_500;
    private static final long TASK_MILLIS = 3_400;

    private CaseUnansweredStops() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Rig rig = new Rig(record)) {
            Rig.Entry first = rig.entry("edge-a-1", "vidzeme-a");
            Rig.Entry second = rig.entry("edge-a-2", "vidzeme-a");
            List<Rig.Entry> entries = List.of(first, second);
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= WORKERS; i++) {
                Rig.Agent agent = rig.agent("side-a-" + i, "vidzeme-a", entries);
                int app = Rig.freePort();
                agent.program().start();
                workers.add(new Worker(
                        record, "i-" + i, Rig.SERVICE, "vidzeme-a", agent.registrations(), app, app, 1_500));
            }
            first.program().start();
            second.program().start();
            Thread.sleep(2_000);
            for (int i = 0; i < WORKERS; i++) {
                // The long jobs ask for the kind b, of which there are two; the load beside them asks for the kind a.
                workers.get(i).start(64_000, List.of(i < 2 ? "b" : "a", "r1-1"));
            }
            rig.awaitReady(entries, 40_000);
            Thread.sleep(3_000);
            for (int i = 0; i < BACKGROUND_CLIENTS; i++) {
                Rig.Entry entry = entries.get(i % 2);
                Threads.start(() -> {
                    while (true) {
                        rig.call(entry, "POST", rig.newId(), Rig.job("cpu=1000 ms=86", 4, 1_000, 86, requirement("a")), 1_500);
                        Thread.sleep(50);
                    }
                });
            }
            Thread.sleep(3_000);
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                String id = rig.newId();
                ids.add(id);
                Threads.start(() -> client(rig, first, second, id));
            }
            Set<String> broken = ConcurrentHashMap.newKeySet();
            Threads.start(() -> {
                while (true) {
                    for (String id : ids) {
                        List<Worker> at =
                                workers.stream().filter(worker -> worker.runs(id)).toList();
                        if (at.size() > 1 && broken.add(id)) {
                            record.violation("TWICE", "job", id, "workers", at.get(0).id + "," + at.get(1).id);
                        }
                    }
                    Thread.sleep(5);
                }
            });
            Thread.sleep(400);
            Worker late = workers.stream()
                    .max(java.util.Comparator.comparingLong(
                            worker -> ids.stream().filter(worker::runs).count()))
                    .orElseThrow();
            long running = ids.stream().filter(late::runs).count();
            long before = workers.stream().mapToLong(Worker::orders).sum();
            if (trouble) {
                record.add("orders-late", "worker", late.id, "runs", running);
                late.ordersAreLate = true;
            }
            Thread.sleep(TROUBLE_MILLIS);
            late.ordersAreLate = false;
            long answered = workers.stream().mapToLong(Worker::orders).sum() - before;
            record.add("orders-answered-again", "worker", late.id);
            Thread.sleep(4_000);
            System.out.println("runs at " + late.id + ": " + running + "; orders of the site answered meanwhile: " + answered
                    + ", unanswered: " + late.unanswered() + "; broken: " + record.violations());
            status = running == 0 ? 2 : record.violations().isEmpty() ? 0 : 1;
            for (Worker worker : workers) {
                worker.close();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static String requirement(String label) {
        return ",\"requirements\":\"" + label + "\"";
    }

    /** Sends a job, and again to the other entry 1,300 ms after a 504 or no answer. */
    private static void client(Rig rig, Rig.Entry first, Rig.Entry second, String id) throws Exception {
        String body = Rig.job("cpu=1000 ms=" + TASK_MILLIS, 1, 1_000, 0, requirement("b"));
        int status = rig.call(first, "POST", id, body, CALLER_WAITS_MILLIS);
        if (status == 0 || status == 504) {
            Thread.sleep(RETRANSMIT_MILLIS);
            rig.call(second, "POST", id, body, CALLER_WAITS_MILLIS);
        }
    }
}
