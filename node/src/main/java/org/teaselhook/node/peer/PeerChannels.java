package org.teaselhook.node.peer;

import java.util.concurrent.TimeUnit;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Opens channels to other entries.
 */
public final class PeerChannels {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long IDLE_TIMEOUT_DAYS = 1;

    private final EventLoopGroup loops;
    private final int maxMessageBytes;

    private PeerChannels(EventLoopGroup loops, int maxMessageBytes) {
        this.loops = loops;
        this.maxMessageBytes = maxMessageBytes;
    }

    /**
     * Returns a factory of channels.
     *
     * @param loops the I/O threads
     * @param maxMessageBytes the maximum size of a message
     * @return the factory
     */
    public static PeerChannels of(EventLoopGroup loops, int maxMessageBytes) {
        return new PeerChannels(loops, maxMessageBytes);
    }

    ManagedChannel open(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        int port = Integer.parseInt(address.substring(colon + 1));
        return NettyChannelBuilder.forAddress(new java.net.InetSocketAddress(host, port))
                .usePlaintext()
                .channelType(NioSocketChannel.class)
                .eventLoopGroup(loops)
                .directExecutor()
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .withOption(ChannelOption.TCP_NODELAY, true)
                .maxInboundMessageSize(maxMessageBytes)
                .idleTimeout(IDLE_TIMEOUT_DAYS, TimeUnit.DAYS)
                .build();
    }
}
