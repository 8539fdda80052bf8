package org.teaselhook.app;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.teaselhook.net.log.LogLine;
import org.tinylog.provider.ProviderRegistry;
import sun.misc.Signal;

/**
 * Keeps a daemon running until the process is told to end (SIGTERM or SIGINT), then stops it gracefully. SIGHUP makes
 * it read its settings again.
 */
final class Daemon {

    private static final long STOP_TIMEOUT_SECONDS = 40;

    private Daemon() {}

    /** Runs a daemon until it is told to end. */
    @FunctionalInterface
    interface Run {
        int run(SettingsOption settings) throws InterruptedException;
    }

    /** Waits for the end; the process exits after the daemon has stopped. SIGHUP does not end it. */
    static int runUntilTerminated(Supplier<CompletionStage<Void>> stop) throws InterruptedException {
        return runUntilTerminated(stop, () -> LogLine.of("reload-ignored").info());
    }

    /** Waits for the end, and calls {@code reload} on each SIGHUP. */
    static int runUntilTerminated(Supplier<CompletionStage<Void>> stop, Runnable reload) throws InterruptedException {
        Signal.handle(new Signal("HUP"), signal -> reload.run());
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(stop, ended), "stop"));
        ended.await();
        return 0;
    }

    private static void stop(Supplier<CompletionStage<Void>> stop, CountDownLatch ended) {
        try {
            stop.get().toCompletableFuture().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            System.err.println("not stopped gracefully: " + e);
        } finally {
            endLog();
            ended.countDown();
        }
    }

    /** The log is not ended by the logging library itself, which would do so before the process has stopped. */
    private static void endLog() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
