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

    private static final int SILENCE_MILLIS = 150;

    private EventLoopGroup group;
    private ServerSocket server;
    private Relay relay;
    private int joined;

    @BeforeMethod
    public void start() throws IOException {
        joined = 0;
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

    // -- passing on

    @Test
    public void shouldPassBytesOnInBothDirectionsAndCountThem() throws IOException {
        try (Ends ends = connect()) {
            ends.assertPasses(RelayDirection.TO_SERVER);
            ends.assertPasses(RelayDirection.TO_CLIENT);
            assertEquals(relay.bytes(RelayDirection.TO_SERVER), 1);
            assertEquals(relay.bytes(RelayDirection.TO_CLIENT), 1);
        }
    }

    @Test
    public void shouldPassEndOfStreamOn() throws IOException {
        try (Ends ends = connect()) {
            ends.client.close();
            assertEquals(ends.server.getInputStream().read(), -1);
        }
    }

    // -- silence

    @DataProvider
    public Object[][] silences() {
        return new Object[][] {
            {EnumSet.of(RelayDirection.TO_SERVER)},
            {EnumSet.of(RelayDirection.TO_CLIENT)},
            {EnumSet.allOf(RelayDirection.class)},
        };
    }

    @Test(dataProvider = "silences")
    public void shouldSwallowBytesOfPresentConnectionsForGood(Set<RelayDirection> silent) throws IOException {
        try (Ends present = connect();
                Ends fresh = reconnectAfter(() -> relay.silence(silent))) {
            relay.heal();
            for (RelayDirection direction : RelayDirection.values()) {
                present.assertPassesUnless(silent.contains(direction), direction);
                fresh.assertPasses(direction);
            }
        }
    }

    @Test(dataProvider = "silences")
    public void shouldSwallowBytesOfNewConnectionsUntilHealed(Set<RelayDirection> silent) throws IOException {
        relay.silenceNew(silent);
        try (Ends swallowed = connect();
                Ends healed = reconnectAfter(relay::heal)) {
            for (RelayDirection direction : RelayDirection.values()) {
                swallowed.assertPassesUnless(silent.contains(direction), direction);
                healed.assertPasses(direction);
            }
        }
    }

    @Test
    public void shouldNotPassEndOfStreamOnWhenSilent() throws IOException {
        try (Ends ends = connect()) {
            relay.silence(EnumSet.allOf(RelayDirection.class));
            ends.client.close();
            assertThrows(
                    SocketTimeoutException.class,
                    () -> ends.server.getInputStream().read());
        }
    }

    @Test
    public void shouldSwallowBytesOfSelectedClientsOnly() throws IOException {
        try (Ends silent = connect();
                Ends open = connect()) {
            relay.silence(EnumSet.allOf(RelayDirection.class), port -> port == silent.client.getLocalPort());
            silent.assertPassesUnless(true, RelayDirection.TO_SERVER);
            open.assertPasses(RelayDirection.TO_SERVER);
        }
    }

    // -- close

    @Test
    public void shouldCloseBothSidesOnCommand() throws IOException {
        try (Ends ends = connect()) {
            relay.closeConnections();
            assertEquals(ends.client.getInputStream().read(), -1);
            assertEquals(ends.server.getInputStream().read(), -1);
        }
    }

    private Ends reconnectAfter(Runnable change) throws IOException {
        change.run();
        return connect();
    }

    private Ends connect() throws IOException {
        Socket client = new Socket(relay.address().getAddress(), relay.address().getPort());
        Socket accepted = server.accept();
        awaitJoined(++joined);
        client.setSoTimeout(SILENCE_MILLIS);
        accepted.setSoTimeout(SILENCE_MILLIS);
        return new Ends(client, accepted);
    }

    /** The server's side is accepted by the kernel before the relay has joined it to the client's. */
    private void awaitJoined(int connections) {
        while (relay.connections() < connections) {
            Thread.onSpinWait();
        }
    }

    private record Ends(Socket client, Socket server) implements AutoCloseable {

        void assertPasses(RelayDirection direction) throws IOException {
            send(direction);
            assertEquals(to(direction).getInputStream().read(), 7);
        }

        void assertPassesUnless(boolean silent, RelayDirection direction) throws IOException {
            if (silent) {
                send(direction);
                assertThrows(
                        SocketTimeoutException.class,
                        () -> to(direction).getInputStream().read());
            } else {
                assertPasses(direction);
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
