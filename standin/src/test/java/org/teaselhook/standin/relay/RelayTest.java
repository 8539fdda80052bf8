package org.teaselhook.standin.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.EnumSet;
import java.util.Set;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

public class RelayTest {

    private static final int READ_TIMEOUT_MILLIS = 150;

    private EventLoopGroup group;
    private ServerSocket server;
    private Relay relay;
    private int opened;

    @BeforeMethod
    public void start() throws IOException {
        opened = 0;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        relay = Relay.start(group, (InetSocketAddress) server.getLocalSocketAddress());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        relay.close();
        server.close();
        group.shutdownGracefully();
    }

    // -- forwarding

    @Test
    public void shouldPassBytesInBothDirectionsAndCountThem() throws IOException {
        try (Endpoints endpoints = connect()) {
            endpoints.assertForwards(RelayDirection.TO_SERVER);
            endpoints.assertForwards(RelayDirection.TO_CLIENT);
            assertEquals(relay.bytes(RelayDirection.TO_SERVER), 1);
            assertEquals(relay.bytes(RelayDirection.TO_CLIENT), 1);
        }
    }

    @Test
    public void shouldPassEndOfStream() throws IOException {
        try (Endpoints endpoints = connect()) {
            endpoints.client.close();
            assertEquals(endpoints.server.getInputStream().read(), -1);
        }
    }

    // -- blackhole

    @DataProvider
    public Object[][] silences() {
        return new Object[][] {
            {EnumSet.of(RelayDirection.TO_SERVER)},
            {EnumSet.of(RelayDirection.TO_CLIENT)},
            {EnumSet.allOf(RelayDirection.class)},
        };
    }

    @Test(dataProvider = "silences")
    public void shouldStopForwardingForPresentConnectionsPermanently(Set<RelayDirection> blackholed)
            throws IOException {
        try (Endpoints existing = connect();
                Endpoints fresh = reconnectAfter(() -> relay.blackhole(blackholed))) {
            relay.heal();
            for (RelayDirection direction : RelayDirection.values()) {
                existing.assertForwardsUnless(blackholed.contains(direction), direction);
                fresh.assertForwards(direction);
            }
        }
    }

    @Test(dataProvider = "silences")
    public void shouldStopForwardingForNewConnectionsUntilHealed(Set<RelayDirection> blackholed) throws IOException {
        relay.blackholeNewConnections(blackholed);
        try (Endpoints dropping = connect();
                Endpoints healed = reconnectAfter(relay::heal)) {
            for (RelayDirection direction : RelayDirection.values()) {
                dropping.assertForwardsUnless(blackholed.contains(direction), direction);
                healed.assertForwards(direction);
            }
        }
    }

    @Test
    public void shouldNotPassEndOfStreamWhenBlackholed() throws IOException {
        try (Endpoints endpoints = connect()) {
            relay.blackhole(EnumSet.allOf(RelayDirection.class));
            endpoints.client.close();
            assertThrows(
                    SocketTimeoutException.class,
                    () -> endpoints.server.getInputStream().read());
        }
    }

    @Test
    public void shouldStopForwardingForSelectedClientsOnly() throws IOException {
        try (Endpoints blackholed = connect();
                Endpoints unaffected = connect()) {
            relay.blackhole(EnumSet.allOf(RelayDirection.class), port -> port == blackholed.client.getLocalPort());
            blackholed.assertForwardsUnless(true, RelayDirection.TO_SERVER);
            unaffected.assertForwards(RelayDirection.TO_SERVER);
        }
    }

    // -- close

    @Test
    public void shouldCloseBothSidesOfConnections() throws IOException {
        try (Endpoints endpoints = connect()) {
            relay.closeConnections();
            assertEquals(endpoints.client.getInputStream().read(), -1);
            assertEquals(endpoints.server.getInputStream().read(), -1);
        }
    }

    private Endpoints reconnectAfter(Runnable change) throws IOException {
        change.run();
        return connect();
    }

    private Endpoints connect() throws IOException {
        Socket client = new Socket(relay.address().getAddress(), relay.address().getPort());
        Socket accepted = server.accept();
        awaitConnections(++opened);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        accepted.setSoTimeout(READ_TIMEOUT_MILLIS);
        return new Endpoints(client, accepted);
    }

    /** Waits for the relay: the kernel accepts a connection before the relay has linked both of its sides. */
    private void awaitConnections(int connections) {
        while (relay.connections() < connections) {
            Thread.onSpinWait();
        }
    }

    private record Endpoints(Socket client, Socket server) implements AutoCloseable {

        void assertForwards(RelayDirection direction) throws IOException {
            send(direction);
            assertEquals(to(direction).getInputStream().read(), 7);
        }

        void assertForwardsUnless(boolean blackholed, RelayDirection direction) throws IOException {
            if (blackholed) {
                send(direction);
                assertThrows(
                        SocketTimeoutException.class,
                        () -> to(direction).getInputStream().read());
            } else {
                assertForwards(direction);
            }
        }

        private void send(RelayDirection direction) throws IOException {
            Socket from = direction == RelayDirection.TO_SERVER ? client : server;
            from.getOutputStream().write(7);
        }

        private Socket to(RelayDirection direction) {
            return direction == RelayDirection.TO_SERVER ? server : client;
        }

        @Override
        public void close() throws IOException {
            client.close();
            server.close();
        }
    }
}
