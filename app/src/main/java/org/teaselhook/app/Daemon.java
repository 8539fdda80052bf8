package org.teaselhook.app;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.teaselhook.net.log.LogLine;
import org.tinylog.provider.ProviderRegistry;
import sun.misc.Signal;

/**
 * Keeps a daemon running until the process receives SIGTERM or SIGINT, then stops it gracefully. SIGHUP reloads its
 * settings.
 */
final class Daemon {

    private static final long STOP_TIMEOUT_SECONDS = 40;

    private Daemon() {}

    /** Runs a daemon until the process is terminated. */
    @FunctionalInterface
    interface Run {
        int run(SettingsOption settings) throws InterruptedException;
    }

    /** Waits for termination; the process exits once the daemon has stopped. SIGHUP is only logged. */
    static int runUntilTerminated(Supplier<CompletionStage<Void>> stop) throws InterruptedException {
        return runUntilTerminated(stop, () -> LogLine.of("reload-ignored").info());
    }

    /** Waits for termination; calls {@code reload} on each SIGHUP. */
    static int runUntilTerminated(Supplier<CompletionStage<Void>> stop, Runnable reload) throws InterruptedException {
        Signal.handle(new Signal("HUP"), signal -> reload.run());
        CountDownLatch terminated = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(stop, terminated), "stop"));
        terminated.await();
        return 0;
    }

    private static void stop(Supplier<CompletionStage<Void>> stop, CountDownLatch terminated) {
        try {
            stop.get().toCompletableFuture().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            System.err.println("graceful stop failed: " + e);
        } finally {
            shutDownLogging();
            terminated.countDown();
        }
    }

    /** Shuts down logging here, as the logging library itself would do so before the daemon has stopped. */
    private static void shutDownLogging() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
