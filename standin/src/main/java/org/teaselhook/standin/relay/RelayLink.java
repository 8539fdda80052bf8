package org.teaselhook.standin.relay;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.netty.channel.Channel;

/** A relayed connection: a channel on each side and a pipe in each direction. */
final class RelayLink {

    private final int clientPort;
    private final Channel client;
    private final Channel server;
    private final RelayPipe toServer;
    private final RelayPipe toClient;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    private RelayLink(Channel client, Channel server, RelayState state) {
        this.clientPort = ((InetSocketAddress) client.remoteAddress()).getPort();
        this.client = client;
        this.server = server;
        this.toServer = new RelayPipe(RelayDirection.TO_SERVER, state, server);
        this.toClient = new RelayPipe(RelayDirection.TO_CLIENT, state, client);
    }

    // -- factories

    static RelayLink open(Channel client, Channel server, RelayState state) {
        RelayLink link = new RelayLink(client, server, state);
        link.blackhole(state.blackholedDirections(link.clientPort()));
        client.pipeline().addLast(link.toServer);
        server.pipeline().addLast(link.toClient);
        client.closeFuture().addListener(done -> link.completeWhenBothClosed());
        server.closeFuture().addListener(done -> link.completeWhenBothClosed());
        client.config().setAutoRead(true);
        server.config().setAutoRead(true);
        return link;
    }

    // -- accessors

    int clientPort() {
        return clientPort;
    }

    CompletionStage<Void> closed() {
        return closed;
    }

    // -- faults

    void blackhole(Set<RelayDirection> directions) {
        if (directions.contains(RelayDirection.TO_SERVER)) {
            toServer.blackhole();
        }
        if (directions.contains(RelayDirection.TO_CLIENT)) {
            toClient.blackhole();
        }
    }

    void close() {
        client.close();
        server.close();
    }

    private void completeWhenBothClosed() {
        if (!client.isOpen() && !server.isOpen()) {
            closed.complete(null);
        }
    }
}
