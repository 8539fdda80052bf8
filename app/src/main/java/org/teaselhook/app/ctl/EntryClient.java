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
 * Asks entries one after another until one answers. A request that was sent without an answer is sent again to the
 * next entry, so requests must be reads or carry an operation id.
 */
final class EntryClient implements AutoCloseable {

    private static final int CONNECTIONS = 1;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long TRY_MILLIS = 8_000;
    private static final long PAUSE_MILLIS = 300;
    private static final int UNAVAILABLE = 503;

    private final HttpClient http;
    private final List<InetSocketAddress> entries;
    private final long timeoutMillis;
    private final LongSupplier nanos;

    EntryClient(EntryOptions options) {
        this(options.entries(), options.timeoutMillis(), System::nanoTime);
    }

    EntryClient(List<InetSocketAddress> entries, long timeoutMillis, LongSupplier nanos) {
        this.http = HttpClient.create(CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
        this.entries = List.copyOf(entries);
        this.timeoutMillis = timeoutMillis;
        this.nanos = nanos;
    }

    /** Tries every entry in turn, again and again, until one answers or the time is used up. */
    EntryReply send(HttpCall call) {
        long endNanos = nanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Round round = new Round();
        do {
            for (InetSocketAddress entry : entries) {
                long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - nanos.getAsLong());
                if (leftMillis > 0 && round.isAnswered(entry, send(entry, call, Math.min(leftMillis, TRY_MILLIS)))) {
                    return new EntryReply.Replied(round.reply);
                }
            }
            pause();
        } while (endNanos - nanos.getAsLong() > 0);
        return round.outcome();
    }

    private HttpResult send(InetSocketAddress entry, HttpCall call, long waitMillis) {
        return http.send(entry, call, waitMillis).toCompletableFuture().join();
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        http.close();
    }

    /** What has been seen so far. */
    private static final class Round {
        private HttpReply reply;
        private boolean sent;
        private String reason = "no time was left";

        boolean isAnswered(InetSocketAddress entry, HttpResult result) {
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
