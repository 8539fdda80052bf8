package org.teaselhook.node.frame;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.MessageLite;
import io.netty.channel.Channel;

/**
 * A connection that carries messages. They are sent on the control thread, and written at the end of its current
 * iteration, or once the connection is open.
 *
 * @param <S> the messages sent
 */
public final class FrameConnection<S extends MessageLite> {

    private final InetSocketAddress remote;
    private final Outbox outbox;
    private final List<S> pending = new ArrayList<>();
    private volatile Optional<Channel> channel = Optional.empty();
    private volatile Optional<String> endReason = Optional.empty();
    private volatile long lastReplyAt = Long.MIN_VALUE;

    FrameConnection(InetSocketAddress remote, Outbox outbox) {
        this.remote = Objects.requireNonNull(remote, "remote is null");
        this.outbox = Objects.requireNonNull(outbox, "outbox is null");
    }

    // -- called on the control thread

    /**
     * Returns the remote address.
     *
     * @return the address that was dialed, or that of the client
     */
    public InetSocketAddress remote() {
        return remote;
    }

    /**
     * Sends a message at the end of this iteration; a message on a connection that has ended is dropped.
     *
     * @param message the message
     */
    public void send(S message) {
        if (hasEnded()) {
            return;
        }
        if (pending.isEmpty()) {
            outbox.add(this);
        }
        pending.add(message);
    }

    /**
     * Closes the connection at once; messages not yet written are dropped.
     *
     * @param reason the reason, for the log
     */
    public void close(String reason) {
        recordEnd(reason);
        pending.clear();
        channel.ifPresent(Channel::close);
    }

    void flush() {
        Optional<Channel> open = channel;
        if (hasEnded()) {
            pending.clear();
        } else if (open.isPresent() && !pending.isEmpty()) {
            write(open.get());
        }
    }

    private void write(Channel open) {
        if (open.isWritable()) {
            open.writeAndFlush(FrameEncoding.encode(pending), open.voidPromise());
        } else if (open.isActive()) {
            // The remote end reads too slowly: the buffered messages are out of date, and more would only prolong the
            // delay.
            close("the other end reads too slowly");
        }
        pending.clear();
    }

    // -- called on the I/O thread

    /**
     * Answers a message at once, on the I/O thread that received it. Once the connection has been closed, nothing is
     * answered, so that {@link #lastReplyAt()} is final.
     *
     * @param nowNanos the present time
     * @param message the answer
     */
    public void reply(long nowNanos, S message) {
        // Written before the end is read, as close() is called before lastReplyAt() is read.
        lastReplyAt = nowNanos;
        Optional<Channel> open = channel.filter(active -> !hasEnded() && active.isWritable());
        open.ifPresent(
                writable -> writable.writeAndFlush(FrameEncoding.encode(List.of(message)), writable.voidPromise()));
    }

    void opened(Channel active) {
        channel = Optional.of(active);
        if (hasEnded()) {
            active.close();
        } else {
            outbox.scheduleFlush(this);
        }
    }

    // -- called on both threads

    /**
     * Returns when a message was last answered on the I/O thread. No answer is sent later than that once the connection
     * has been closed.
     *
     * @return the time, in nanoseconds; {@link Long#MIN_VALUE} if none was
     */
    public long lastReplyAt() {
        return lastReplyAt;
    }

    private boolean hasEnded() {
        return endReason.isPresent();
    }

    /** Records why the connection ends, and returns the first reason recorded. */
    String recordEnd(String reason) {
        String first = endReason.orElse(reason);
        endReason = Optional.of(first);
        return first;
    }
}
