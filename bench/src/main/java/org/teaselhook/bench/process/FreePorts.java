package org.teaselhook.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports for processes to listen on, also after a restart. They lie below Linux's ephemeral port
 * range, so that no outgoing connection occupies one before the process listens.
 */
public final class FreePorts {

    static final int FIRST_PORT = 10_000;
    static final int LAST_PORT = 32_000;

    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(FIRST_PORT + new Random().nextInt(LAST_PORT - FIRST_PORT));

    private FreePorts() {}

    /**
     * Finds free ports. Within one JVM, no port is returned twice until all have been tried.
     *
     * @param count the number of ports
     * @return loopback addresses on which nothing listened at the time of the call
     * @throws IllegalStateException if fewer ports are free
     * @throws UncheckedIOException if a socket cannot be closed
     */
    public static List<InetSocketAddress> draw(int count) {
        List<InetSocketAddress> result = new ArrayList<>();
        for (int tried = 0; result.size() < count; tried++) {
            if (tried > LAST_PORT - FIRST_PORT) {
                throw new IllegalStateException("fewer than " + count + " ports are free between " + FIRST_PORT
                        + " and " + LAST_PORT + "; end processes that listen there");
            }
            ifFree(nextPort()).ifPresent(result::add);
        }
        return List.copyOf(result);
    }

    private static int nextPort() {
        return NEXT_PORT.getAndUpdate(port -> port < LAST_PORT ? port + 1 : FIRST_PORT);
    }

    private static Optional<InetSocketAddress> ifFree(int port) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (ServerSocket socket = new ServerSocket()) {
            return bind(socket, address) ? Optional.of(address) : Optional.empty();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean bind(ServerSocket socket, InetSocketAddress address) {
        try {
            socket.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
