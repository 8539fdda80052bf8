package org.teaselhook.node.grpc;

import java.net.InetSocketAddress;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.teaselhook.net.http.EventLoops;

/**
 * Opens channels to entries, each on a socket of its own.
 */
public final class EntryChannels {

    private static final int MAX_FRAME_BYTES = 72 * 1024 * 1024;

    private EntryChannels() {}

    /**
     * Opens a channel, which connects on first use.
     *
     * @param loops the I/O threads
     * @param address the entry's gRPC address
     * @param connectTimeoutMillis the connect timeout
     * @return the channel
     */
    public static ManagedChannel open(EventLoops loops, InetSocketAddress address, int connectTimeoutMillis) {
        return NettyChannelBuilder.forAddress(address)
                .eventLoopGroup(loops.group())
                .channelType(NioSocketChannel.class)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .withOption(ChannelOption.TCP_NODELAY, true)
                .maxInboundMessageSize(MAX_FRAME_BYTES)
                .usePlaintext()
                .disableRetry()
                .directExecutor()
                .build();
    }
}
