import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Four jobs of 380 tasks in two steps come at once to one entry, beside a light load of small jobs. The workers have
 * room for all of them many times over. Without the disruption, the four come one after the other.
 */
final class CaseLargeJobs {

    private static final int LARGE_JOBS = 4;
    private static final int TASKS_OF_STEP = 190;
    private static final int SMALL_CLIENTS = 4;
    private static final long HANG_MILLIS = 3_000;

    private CaseLargeJobs() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Rig rig = new Rig(record)) {
            Rig.Entry entry = rig.entry("edge-a-1", "vidzeme-a");
            List<Rig.Entry> entries = List.of(entry);
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                Rig.Agent agent = rig.agent("side-a-" + i, "vidzeme-a", entries);
                int app = Rig.freePort();
                agent.program().start();
                workers.add(new Worker(
                        record, "i-" + i, Rig.SERVICE, "vidzeme-a", agent.registrations(), app, app, 1_500));
            }
            entry.program().start();
            Thread.sleep(1_000);
            for (Worker worker : workers) {
                worker.start(64_000, List.of("a", "r1-1"));
            }
            rig.awaitReady(entries, 30_000);
            Thread.sleep(3_000);
            AtomicInteger served = new AtomicInteger();
            AtomicLong servedAt = new AtomicLong();
            AtomicLong longestGap = new AtomicLong();
            for (int i = 0; i < SMALL_CLIENTS; i++) {
                Threads.start(() -> {
                    while (true) {
                        int answer = rig.call(
                                entry, "POST", rig.newId(), Rig.job("cpu=1000 ms=100", 1, 1_000, 100, ""), 1_500);
                        if (answer == 200) {
                            served.incrementAndGet();
                            long before = servedAt.getAndSet(record.millis());
                            longestGap.accumulateAndGet(record.millis() - before, Math::max);
                        }
                        Thread.sleep(20);
                    }
                });
            }
            Thread.sleep(5_000);
            int before = served.get();
            servedAt.set(record.millis());
            longestGap.set(0);
            AtomicInteger largeServed = new AtomicInteger();
            String step = "\"count\":" + TASKS_OF_STEP + ",\"cpu\":20,\"mem_mb\":1,\"estimate_ms\":300";
            String body = "{\"best_effort\":true,\"spec\":\"cpu=20 ms=300\",\"steps\":[{" + step + "},{" + step
                    + ",\"after\":[0]}]}";
            for (int i = 0; i < LARGE_JOBS; i++) {
                int number = i;
                Threads.start(() -> {
                    Thread.sleep(trouble ? 0 : number * 3_000);
                    int answer = rig.call(entry, "POST", rig.newId(), body, 15_000);
                    largeServed.addAndGet(answer == 200 ? 1 : 0);
                });
            }
            for (int i = 0; i < 16; i++) {
                Thread.sleep(1_000);
                record.add("second", "number", i, "small_served", served.get(), "ready", entry.isReady());
                if (System.getenv("DUMP") != null && i < 5) {
                    entry.program().signal("QUIT");
                }
            }
            long gap = Math.max(longestGap.get(), record.millis() - servedAt.get());
            if (gap >= HANG_MILLIS) {
                record.violation("Fault", "nothing_served_for_ms", gap, "large_jobs_served", largeServed);
            }
            System.out.println("small jobs served in 5 s before: " + before + "; longest time in which no call was served: "
                    + gap + " ms; large jobs served: " + largeServed + " of " + LARGE_JOBS + "; broken: "
                    + record.violations());
            status = before < 20 ? 2 : record.violations().isEmpty() ? 0 : 1;
            for (Worker worker : workers) {
                worker.close();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
