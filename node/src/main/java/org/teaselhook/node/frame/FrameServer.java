package org.teaselhook.node.frame;

import java.net.InetSocketAddress;
import java.util.Objects;

import com.google.protobuf.MessageLite;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.teaselhook.net.http.EventLoops;

/**
 * Takes connections that carry frames.
 */
public final class FrameServer implements AutoCloseable {

    /** Connections that may wait to be taken: all agents of a large site dial a new entry at once. */
    private static final int BACKLOG = 1_024;

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
     * @param loops the traffic threads, which outlive the server
     * @param bind the address to listen on; port 0 picks a free one
     * @param outbox writes what the connections send
     * @param protocol what is received
     * @param listener told what happens on the connections
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
        ChannelFuture bound = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        protocol.install(channel, new FrameConnection<S>(channel.remoteAddress(), outbox), listener);
                    }
                })
                .bind(bind)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("cannot listen on " + bind + "; choose a free address", bound.cause());
        }
        return new FrameServer(bound.channel(), connections);
    }

    // -- accessors

    /**
     * Returns the port listened on.
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
