package org.teaselhook.node.frame;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.MessageLite;
import io.netty.channel.Channel;

/**
 * One connection. Messages are sent on the control thread, where they wait until the end of its turn, or until the
 * connection is open.
 *
 * @param <S> the messages sent
 */
public final class FrameConnection<S extends MessageLite> {

    private final InetSocketAddress remote;
    private final Outbox outbox;
    private final List<S> waiting = new ArrayList<>();
    private volatile Optional<Channel> channel = Optional.empty();
    private volatile Optional<String> endReason = Optional.empty();

    FrameConnection(InetSocketAddress remote, Outbox outbox) {
        this.remote = Objects.requireNonNull(remote, "remote is null");
        this.outbox = Objects.requireNonNull(outbox, "outbox is null");
    }

    // -- used by the control thread

    /**
     * Returns the other end's address.
     *
     * @return the address that was dialed, or that the connection came from
     */
    public InetSocketAddress remote() {
        return remote;
    }

    /**
     * Sends a message at the end of this turn; on a connection that has ended it is dropped.
     *
     * @param message the message
     */
    public void send(S message) {
        if (hasEnded()) {
            return;
        }
        if (waiting.isEmpty()) {
            outbox.add(this);
        }
        waiting.add(message);
    }

    /**
     * Ends the connection at once; what waits to be sent is dropped.
     *
     * @param reason why, for the log
     */
    public void close(String reason) {
        end(reason);
        waiting.clear();
        channel.ifPresent(Channel::close);
    }

    void flush() {
        Optional<Channel> open = channel;
        if (hasEnded()) {
            waiting.clear();
        } else if (open.isPresent() && !waiting.isEmpty()) {
            write(open.get());
        }
    }

    private void write(Channel open) {
        if (open.isWritable()) {
            open.writeAndFlush(FrameEncoding.encode(waiting), open.voidPromise());
        } else if (open.isActive()) {
            // The other end reads nothing: what lies in the buffers is out of date, and more would only add to it.
            close("the other end reads too slowly");
        }
        waiting.clear();
    }

    // -- used by the traffic thread

    /**
     * Answers a message at once, on the traffic thread that received it.
     *
     * @param message the answer
     */
    public void reply(S message) {
        Optional<Channel> open = channel.filter(Channel::isWritable);
        open.ifPresent(
                writable -> writable.writeAndFlush(FrameEncoding.encode(List.of(message)), writable.voidPromise()));
    }

    void opened(Channel active) {
        channel = Optional.of(active);
        if (hasEnded()) {
            active.close();
        } else {
            outbox.flushSoon(this);
        }
    }

    // -- used by both

    private boolean hasEnded() {
        return endReason.isPresent();
    }

    /** Notes why the connection ends, and returns the reason: the first that was noted. */
    String end(String reason) {
        String first = endReason.orElse(reason);
        endReason = Optional.of(first);
        return first;
    }
}
