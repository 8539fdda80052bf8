package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.wire.EntryServiceGrpc;

/**
 * Opens gRPC streams, each on a socket of its own.
 */
final class GrpcDialer implements Dialer {

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_FRAME_BYTES = 72 * 1024 * 1024;

    private final EventLoops loops;

    GrpcDialer(EventLoops loops) {
        this.loops = loops;
    }

    @Override
    public EntryStream dial(InetSocketAddress address, StreamEvents events) {
        ManagedChannel channel = NettyChannelBuilder.forAddress(address)
                .eventLoopGroup(loops.group())
                .channelType(NioSocketChannel.class)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .withOption(ChannelOption.TCP_NODELAY, true)
                .maxInboundMessageSize(MAX_FRAME_BYTES)
                .usePlaintext()
                .disableRetry()
                .directExecutor()
                .build();
        GrpcEntryStream stream = new GrpcEntryStream(address, channel, events);
        stream.open(EntryServiceGrpc.newStub(channel));
        return stream;
    }
}
