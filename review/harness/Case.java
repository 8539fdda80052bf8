package review;

import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Case {

    /** What a case does; returns whether the rule was broken. */
    interface Body {
        boolean run(Record record, boolean trouble) throws Exception;
    }

    private static final long LIMIT_MILLIS = 115_000;

    private Case() {}

    static void run(String folder, Body body) {
        Record record = new Record(Path.of(folder, "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.line("case %s, %s", folder, trouble ? "with the disruption" : "without the disruption");
        Thread watchdog = new Thread(() -> {
            Worker.sleep(LIMIT_MILLIS);
            record.line("the case took too long");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status;
        try {
            boolean broken = body.run(record, trouble);
            record.line(broken ? "RULE BROKEN" : "rule held");
            status = broken ? 1 : 0;
        } catch (Exception | Error e) {
            record.line("the case could not run: %s", e);
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }
}
