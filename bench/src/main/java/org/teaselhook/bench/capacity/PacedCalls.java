package org.teaselhook.bench.capacity;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpResult;

/** Sends calls to entries in turn at a constant rate, and counts complete (status 200) and failed calls. */
final class PacedCalls implements AutoCloseable {

    private static final long TICK_MILLIS = 2;
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int MAX_CONNECTIONS = 512;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int HTTP_OK = 200;

    private final EventLoops loops = EventLoops.of(EVENT_LOOP_THREADS);
    private final HttpClient client = HttpClient.create(loops, MAX_CONNECTIONS, TIMEOUT_MILLIS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong complete = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final List<InetSocketAddress> entries;
    private final LongFunction<HttpCall> call;
    private final double perSecond;
    private final long startNanos = System.nanoTime();
    private long sent;

    private PacedCalls(List<InetSocketAddress> entries, double perSecond, LongFunction<HttpCall> call) {
        this.entries = List.copyOf(entries);
        this.perSecond = perSecond;
        this.call = call;
    }

    /** Starts sending. The function creates each call from its sequence number, which starts at 0. */
    static PacedCalls start(List<InetSocketAddress> entries, double perSecond, LongFunction<HttpCall> call) {
        PacedCalls calls = new PacedCalls(entries, perSecond, call);
        calls.timer.scheduleAtFixedRate(calls::sendDue, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return calls;
    }

    long complete() {
        return complete.get();
    }

    long failed() {
        return failed.get();
    }

    private void sendDue() {
        long due = (long) ((System.nanoTime() - startNanos) / 1e9 * perSecond);
        while (sent < due) {
            send(sent++);
        }
    }

    private void send(long number) {
        InetSocketAddress entry = entries.get((int) (number % entries.size()));
        client.send(entry, call.apply(number), TIMEOUT_MILLIS).thenAccept(this::count);
    }

    private void count(HttpResult result) {
        boolean ok =
                result instanceof HttpResult.Replied replied && replied.reply().status() == HTTP_OK;
        (ok ? complete : failed).incrementAndGet();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        client.close();
        loops.close();
    }
}
