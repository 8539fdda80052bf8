package org.teaselhook.node.frame;

import java.net.InetSocketAddress;
import java.util.Objects;

import com.google.protobuf.MessageLite;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import org.teaselhook.net.http.EventLoops;

/**
 * A server for connections that carry frames.
 */
public final class FrameServer implements AutoCloseable {

    private final Channel listening;
    private final ChannelGroup connections;

    private FrameServer(Channel listening, ChannelGroup connections) {
        this.listening = listening;
        this.connections = connections;
    }

    // -- factories

    /**
     * Starts a server.
     *
     * @param loops the I/O threads, which the server does not close
     * @param bind the address to listen on; port 0 picks a free one
     * @param outbox writes the messages of the connections
     * @param protocol parses the messages received
     * @param listener notified of events on the connections
     * @param <R> the messages received
     * @param <S> the messages sent
     * @return the running server
     * @throws IllegalStateException if the address cannot be bound
     */
    public static <R extends MessageLite, S extends MessageLite> FrameServer start(
            EventLoops loops,
            InetSocketAddress bind,
            Outbox outbox,
            FrameProtocol<R> protocol,
            FrameListener<R, S> listener) {
        Objects.requireNonNull(protocol, "protocol is null");
        ChannelGroup connections = new DefaultChannelGroup(loops.group().next());
        Channel listening = loops.listen(bind, new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                connections.add(channel);
                protocol.install(channel, new FrameConnection<S>(channel.remoteAddress(), outbox), listener);
            }
        });
        return new FrameServer(listening, connections);
    }

    // -- accessors

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    // -- stopping

    /** Closes the listening socket and every connection at once. */
    @Override
    public void close() {
        listening.close();
        connections.close();
    }
}
