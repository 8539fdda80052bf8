import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All processes are killed and start again. At each agent, the first heartbeat after that comes from another writer
 * and names a service that no configuration has; the worker's own heartbeats follow.
 */
final class CaseForeignHeartbeat {

    private static final int CLIENTS = 6;
    private static final long RECOVERY_MILLIS = 12_000;

    private CaseForeignHeartbeat() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Rig rig = new Rig(record)) {
            Rig.Entry entry = rig.entry("edge-a-1", "vidzeme-a");
            List<Rig.Entry> entries = List.of(entry);
            List<Rig.Agent> agents = new ArrayList<>();
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                Rig.Agent agent = rig.agent("side-a-" + i, "vidzeme-a", entries);
                int app = Rig.freePort();
                agents.add(agent);
                agent.program().start();
                workers.add(new Worker(
                        record, "i-" + i, Rig.SERVICE, "vidzeme-a", agent.registrations(), app, app, 1_500));
            }
            entry.program().start();
            Thread.sleep(1_000);
            for (Worker worker : workers) {
                worker.start(16_000, List.of("a", "r1-1"));
            }
            rig.awaitReady(entries, 30_000);
            Thread.sleep(3_000);
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                Threads.start(() -> {
                    while (true) {
                        int answer = rig.call(
                                entry, "POST", rig.newId(), Rig.job("cpu=2000 ms=200", 1, 2_000, 200, ""), 1_500);
                        sent.incrementAndGet();
                        served.addAndGet(answer == 200 ? 1 : 0);
                        Thread.sleep(answer == 200 ? 20 : 100);
                    }
                });
            }
            Thread.sleep(5_000);
            double before = (double) served.get() / Math.max(1, sent.get());
            record.add("before", "sent", sent, "served", served);
            entry.program().kill();
            for (Rig.Agent agent : agents) {
                agent.program().kill();
            }
            Thread.sleep(500);
            for (int i = 0; i < 2; i++) {
                Worker worker = workers.get(i);
                agents.get(i).program().start();
                if (trouble) {
                    Threads.start(() -> {
                        // The other writer tries until it gets through, as a worker does.
                        String answer = "none";
                        while (answer.equals("none")) {
                            answer = worker.put(
                                    worker.id, worker.reportWith("service", "unnamed"));
                            Thread.sleep(5);
                        }
                        record.add("foreign-heartbeat", "worker", worker.id, "answer", answer);
                    });
                }
            }
            entry.program().start();
            Thread.sleep(RECOVERY_MILLIS);
            sent.set(0);
            served.set(0);
            Thread.sleep(15_000);
            double after = (double) served.get() / Math.max(1, sent.get());
            record.add("after", "sent", sent, "served", served);
            if (after < 0.25 && before >= 0.25) {
                record.violation("RECOVER", "before", before, "after", after);
            }
            System.out.println("served before " + before + ", later than recovery_s after " + after + ", broken: "
                    + record.violations());
            status = before < 0.25 ? 2 : record.violations().isEmpty() ? 0 : 1;
            for (Worker worker : workers) {
                worker.close();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
