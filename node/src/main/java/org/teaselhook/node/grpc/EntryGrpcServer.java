package org.teaselhook.node.grpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * Starts the gRPC server for agents and other entries.
 */
public final class EntryGrpcServer {

    private static final long MIN_KEEP_ALIVE_SECONDS = 1;

    private EntryGrpcServer() {}

    /**
     * Starts a server.
     *
     * @param loops the I/O threads
     * @param bind the address to listen on
     * @param service the service
     * @param maxMessageBytes the maximum size of a message
     * @return the running server
     * @throws IllegalStateException if the address cannot be bound
     */
    public static Server start(
            EventLoopGroup loops, InetSocketAddress bind, BindableService service, int maxMessageBytes) {
        try {
            return NettyServerBuilder.forAddress(bind)
                    .channelType(NioServerSocketChannel.class)
                    .bossEventLoopGroup(loops)
                    .workerEventLoopGroup(loops)
                    .directExecutor()
                    .withChildOption(ChannelOption.TCP_NODELAY, true)
                    .permitKeepAliveWithoutCalls(true)
                    .permitKeepAliveTime(MIN_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                    .maxInboundMessageSize(maxMessageBytes)
                    .addService(service)
                    .build()
                    .start();
        } catch (IOException e) {
            throw new IllegalStateException("cannot listen on " + bind + "; choose a free address", e);
        }
    }
}
