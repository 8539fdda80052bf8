package org.teaselhook.node.frame;

import java.net.InetSocketAddress;
import java.util.Objects;

import com.google.protobuf.MessageLite;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import org.teaselhook.net.http.EventLoops;

/**
 * Opens connections to {@link FrameServer}s.
 *
 * @param <R> the messages received
 * @param <S> the messages sent
 */
public final class FrameDialer<R extends MessageLite, S extends MessageLite> {

    private final Bootstrap bootstrap;
    private final Outbox outbox;
    private final FrameProtocol<R> protocol;

    private FrameDialer(Bootstrap bootstrap, Outbox outbox, FrameProtocol<R> protocol) {
        this.bootstrap = Objects.requireNonNull(bootstrap, "bootstrap is null");
        this.outbox = Objects.requireNonNull(outbox, "outbox is null");
        this.protocol = Objects.requireNonNull(protocol, "protocol is null");
    }

    /**
     * Returns a dialer.
     *
     * @param loops the I/O threads
     * @param outbox writes the messages of the connections
     * @param protocol parses the messages received
     * @param connectTimeoutMillis the connect timeout, in milliseconds
     * @param <R> the messages received
     * @param <S> the messages sent
     * @return a new dialer
     */
    public static <R extends MessageLite, S extends MessageLite> FrameDialer<R, S> of(
            EventLoops loops, Outbox outbox, FrameProtocol<R> protocol, int connectTimeoutMillis) {
        return new FrameDialer<>(loops.clientBootstrap(connectTimeoutMillis), outbox, protocol);
    }

    /**
     * Opens a connection. Messages sent before it is open are written once it is.
     *
     * @param address the server's address
     * @param listener notified of events on the connection
     * @return the connection
     */
    public FrameConnection<S> dial(InetSocketAddress address, FrameListener<R, S> listener) {
        FrameConnection<S> connection = new FrameConnection<>(address, outbox);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        protocol.install(channel, connection, listener);
                    }
                })
                .connect(address)
                .addListener(result -> {
                    if (!result.isSuccess()) {
                        String reason = String.valueOf(result.cause().getMessage());
                        listener.ended(connection, connection.recordEnd(reason));
                    }
                });
        return connection;
    }
}
