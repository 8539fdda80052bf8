import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients cancel their jobs. The connection of each DELETE is reset on its way to the entry that has the job, and the
 * retry reaches the other entry, which acknowledges it. Tasks of the job must not start later than cancel_ms after
 * that, nor run stop_timeout_ms after that time.
 */
final class CaseCancel {

    private static final int JOBS = 6;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_MILLIS = 50;
    private static final long CALLER_WAITS_MILLIS = 15_000;

    private CaseCancel() {}

    private static String body(String spec) {
        return "{\"best_effort\":true,\"spec\":\"" + spec + "\",\"steps\":["
                + "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":4500},"
                + "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":4500,\"after\":[0]}]}";
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Rig rig = new Rig(record)) {
            Rig.Entry first = rig.entry("edge-a-1", "vidzeme-a");
            Rig.Entry second = rig.entry("edge-a-2", "vidzeme-a");
            List<Rig.Entry> entries = List.of(first, second);
            Rig.Agent agent = rig.agent("side-a-1", "vidzeme-a", entries);
            int app = Rig.freePort();
            Worker worker =
                    new Worker(record, "i-1", Rig.SERVICE, "vidzeme-a", agent.registrations(), app, app, 1_500);
            agent.program().start();
            first.program().start();
            second.program().start();
            Thread.sleep(1_000);
            worker.start(16_000, List.of("a", "r1-1"));
            rig.awaitReady(entries, 30_000);
            Thread.sleep(3_000);
            Link toFirst = new Link(first.callers());
            AtomicInteger acknowledged = new AtomicInteger();
            AtomicInteger begun = new AtomicInteger();
            for (int i = 0; i < JOBS; i++) {
                String id = rig.newId();
                Threads.start(() -> rig.call(first, "POST", id, body("cpu=1000 ms=4500"), CALLER_WAITS_MILLIS));
                Threads.start(() -> {
                    Thread.sleep(500);
                    if (worker.runs(id)) {
                        begun.incrementAndGet();
                    }
                    int answer = trouble ? cancelOverResetConnection(rig, toFirst, first, second, id)
                            : rig.call(first, "DELETE", id, "", 4_000);
                    if (answer / 100 != 2 && answer != 410) {
                        record.add("cancel-not-acknowledged", "job", id, "status", answer);
                        return;
                    }
                    acknowledged.incrementAndGet();
                    long at = record.millis();
                    record.add("cancel-acknowledged", "job", id, "status", answer);
                    Thread.sleep(CANCEL_MILLIS + STOP_MILLIS);
                    if (worker.runs(id)) {
                        record.violation("UNASKED", "job", id, "runs_ms_after_ack", record.millis() - at);
                    }
                    boolean firstStepEnded = false;
                    while (record.millis() - at < 9_000) {
                        firstStepEnded |= !worker.runs(id + ".0.0.");
                        if (worker.runs(id + ".0.1.")) {
                            record.violation(
                                    "UNASKED", "job", id, "task_started_ms_after_ack", record.millis() - at);
                            return;
                        }
                        Thread.sleep(20);
                    }
                });
            }
            Thread.sleep(12_000);
            System.out.println("begun " + begun + ", cancels acknowledged " + acknowledged + ", broken: "
                    + record.violations());
            boolean ran = begun.get() == JOBS && acknowledged.get() == JOBS;
            status = !ran ? 2 : record.violations().isEmpty() ? 0 : 1;
            toFirst.close();
            worker.close();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** Sends DELETE on a connection that is reset before the request has reached the entry, then to the other entry. */
    private static int cancelOverResetConnection(
            Rig rig, Link link, Rig.Entry first, Rig.Entry second, String id) throws Exception {
        link.cut(true);
        rig.record.add("call", "method", "DELETE", "entry", first.program().name, "job", id);
        try (Http.Connection connection = new Http.Connection(link.port(), 1_000)) {
            connection.send("DELETE", Rig.PREFIX + id, java.util.Map.of("Host", Rig.HOST), "");
            Thread.sleep(20);
            link.reset();
            connection.receive(4_000);
        } catch (java.io.IOException e) {
            rig.record.add("answer", "method", "DELETE", "job", id, "status", 0, "body", e);
        }
        return rig.call(second, "DELETE", id, "", 4_000);
    }
}
