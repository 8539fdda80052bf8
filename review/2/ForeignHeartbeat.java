package review;

import java.util.List;

/**
 * A heartbeat of another writer, for a service that isn't named here, takes the place of the worker at its agent: the
 * agent reports the worker's runs as lost while they go on, and ignores the worker from then on.
 */
public final class ForeignHeartbeat {

    private static final int DEADLINE_MILLIS = 3_000;
    private static final long WORK_MILLIS = 1_286;
    private static final int TASKS = 4;

    private ForeignHeartbeat() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], ForeignHeartbeat::run);
    }

    private static boolean run(Record record, boolean trouble) throws Exception {
        try (Site site = new Site(record, 1, 3)) {
            site.awaitServing();
            String job = String.format("%016x", 0xcc01);
            Thread writer = new Thread(() -> {
                Worker.sleep(300);
                String id = site.runs.stream()
                        .filter(run -> run.task.startsWith(job))
                        .map(run -> run.worker)
                        .findFirst()
                        .orElseThrow();
                sendForeign(site, site.workers.get(Integer.parseInt(id.substring(2)) - 1));
            });
            if (trouble) {
                writer.start();
            }
            site.submit(0, job, WORK_MILLIS, WORK_MILLIS, TASKS, DEADLINE_MILLIS);
            writer.join();
            Worker.sleep(4_000);
            double from = record.seconds();
            for (int i = 0; i < 30; i++) {
                site.submit(0, String.format("%016x", 0xcd00 + i), 86, 86, 8, 1_500);
            }
            for (Worker worker : site.workers) {
                long starts = site.runs.stream()
                        .filter(run -> run.worker.equals(worker.id) && run.startedAt >= from)
                        .count();
                record.line("%s: %d starts in the last 30 jobs", worker.id, starts);
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

    private static void sendForeign(Site site, Worker worker) {
        String report = Json.write(Json.map(
                "service", "orgelverk", "address", "127.0.0.1:" + Web.freePort(), "zone", "z1", "version", "v1",
                "slots", 8, "state", "ready", "cold_ms", 0, "capacity",
                Json.map("cpu", 16000, "mem_mb", 65536, "gpu", 0), "labels", List.of("a", "r1-1"), "clock_ms", 500,
                "sequence", 1, "born", System.currentTimeMillis()));
        int status = worker.call("PUT", "i-foreign", report);
        site.record.line("another writer's heartbeat at the agent of %s, service orgelverk: answered %d", worker.id,
                status);
    }
}
