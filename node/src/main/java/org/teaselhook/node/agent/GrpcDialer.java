package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

import io.grpc.ManagedChannel;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.node.grpc.EntryChannels;
import org.teaselhook.wire.EntryServiceGrpc;

/**
 * Opens gRPC streams, each on its own socket.
 */
final class GrpcDialer implements Dialer {

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final EventLoops loops;

    GrpcDialer(EventLoops loops) {
        this.loops = loops;
    }

    @Override
    public EntryStream dial(InetSocketAddress address, StreamListener listener) {
        ManagedChannel channel = EntryChannels.open(loops, address, CONNECT_TIMEOUT_MILLIS);
        GrpcEntryStream stream = new GrpcEntryStream(address, channel, listener);
        stream.open(EntryServiceGrpc.newStub(channel));
        return stream;
    }
}
