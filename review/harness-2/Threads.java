/** Starts daemon threads; their failures end only themselves. */
final class Threads {

    interface Action {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                // A closed socket, or an interrupt at the end of the script.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) throws InterruptedException {
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }
}
