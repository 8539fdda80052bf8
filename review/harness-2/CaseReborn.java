import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One worker of six is cut off, crashes behind the cut and starts again under its id as another kind: with less room, and with
 * another label. The cut ends before the next heartbeat of the new life is due.
 */
final class CaseReborn {

    private static final int CLIENTS = 42;
    private static final long LARGE = 24_000;
    private static final long SMALL = 16_000;

    private CaseReborn() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Rig rig = new Rig(record)) {
            Rig.Entry entry = rig.entry("edge-a-1", "vidzeme-a");
            List<Rig.Entry> entries = List.of(entry);
            List<Link> links = new ArrayList<>();
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= 6; i++) {
                Rig.Agent agent = rig.agent("side-a-" + i, "vidzeme-a", entries);
                int app = Rig.freePort();
                Link toWorker = new Link(app);
                Link toAgent = new Link(agent.registrations());
                links.add(toWorker);
                links.add(toAgent);
                agent.program().start();
                workers.add(new Worker(
                        record, "i-" + i, Rig.SERVICE, "vidzeme-a", toAgent.port(), app, toWorker.port(), 1_500));
            }
            entry.program().start();
            Thread.sleep(1_000);
            for (Worker worker : workers) {
                worker.start(LARGE, List.of("b", "r1-1"));
            }
            rig.awaitReady(entries, 30_000);
            Thread.sleep(3_000);
            // Plain tasks fill the room; every fourth asks for the label of the large kind.
            for (int i = 0; i < CLIENTS; i++) {
                boolean labelled = i % 4 == 0;
                String spec = "cpu=4000 ms=300" + (labelled ? " label=b" : "");
                String extra = labelled ? ",\"requirements\":\"b\"" : "";
                Threads.start(() -> {
                    while (true) {
                        int answer = rig.call(entry, "POST", rig.newId(), Rig.job(spec, 1, 4_000, 300, extra), 1_500);
                        Thread.sleep(answer == 200 ? 0 : 50);
                    }
                });
            }
            Thread.sleep(5_000);
            if (trouble) {
                record.add("cut", "worker", "i-1");
                links.get(0).cut(true);
                links.get(1).cut(true);
                Thread.sleep(1_500);
                workers.get(0).crash();
                Thread.sleep(500);
                workers.get(0).start(SMALL, List.of("a", "r1-1"));
                Thread.sleep(1_100);
                record.add("cut-ended", "worker", "i-1");
                links.get(0).cut(false);
                links.get(1).cut(false);
            }
            Thread.sleep(8_000);
            status = record.violations().isEmpty() ? 0 : 1;
            System.out.println("broken: " + record.violations());
            for (Worker worker : workers) {
                worker.close();
            }
            for (Link link : links) {
                link.close();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
