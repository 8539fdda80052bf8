package org.teaselhook.app.ctl;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.node.settings.SocketAddresses;

/**
 * Tries entries one after another until one answers. A request that was sent but not answered is retried at the next
 * entry, so requests must be reads or carry an operation id.
 */
final class EntryClient implements AutoCloseable {

    private static final int CONNECTIONS = 1;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long ATTEMPT_TIMEOUT_MILLIS = 8_000;
    private static final long RETRY_DELAY_MILLIS = 300;
    private static final int UNAVAILABLE = 503;

    private final HttpClient http;
    private final List<InetSocketAddress> entries;
    private final long timeoutMillis;
    private final LongSupplier nanoClock;

    EntryClient(EntryOptions options) {
        this(options.entries(), options.timeoutMillis(), System::nanoTime);
    }

    EntryClient(List<InetSocketAddress> entries, long timeoutMillis, LongSupplier nanoClock) {
        this.http = HttpClient.create(CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
        this.entries = List.copyOf(entries);
        this.timeoutMillis = timeoutMillis;
        this.nanoClock = nanoClock;
    }

    /** Tries the entries in turn, repeatedly, until one answers or the timeout expires. */
    EntryReply send(HttpCall call) {
        long deadlineNanos = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Attempts attempts = new Attempts();
        do {
            for (InetSocketAddress entry : entries) {
                long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nanoClock.getAsLong());
                if (remainingMillis > 0
                        && attempts.recordResult(
                                entry, send(entry, call, Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS)))) {
                    return new EntryReply.Replied(attempts.reply);
                }
            }
            pause();
        } while (deadlineNanos - nanoClock.getAsLong() > 0);
        return attempts.outcome();
    }

    private HttpResult send(InetSocketAddress entry, HttpCall call, long attemptMillis) {
        return http.send(entry, call, attemptMillis).toCompletableFuture().join();
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        http.close();
    }

    /** The results of the attempts so far. */
    private static final class Attempts {
        private HttpReply reply;
        private boolean sent;
        private String reason = "the timeout expired";

        boolean recordResult(InetSocketAddress entry, HttpResult result) {
            String name = SocketAddresses.format(entry);
            if (result instanceof HttpResult.Replied replied) {
                sent = true;
                reply = replied.reply();
                reason = name + " answered " + reply.status() + ": " + reply.text();
                return reply.status() != UNAVAILABLE;
            }
            if (result instanceof HttpResult.Lost lost) {
                sent = true;
                reason = name + ": " + lost.reason();
            } else {
                reason = name + ": " + ((HttpResult.NotSent) result).reason();
            }
            return false;
        }

        EntryReply outcome() {
            if (reply != null) {
                return new EntryReply.Replied(reply);
            }
            return sent ? new EntryReply.Unsettled(reason) : new EntryReply.Unreachable(reason);
        }
    }
}
