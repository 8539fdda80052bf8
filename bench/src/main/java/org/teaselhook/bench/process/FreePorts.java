package org.teaselhook.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds loopback ports that a process can be told to listen on, also after a restart. */
public final class FreePorts {

    private FreePorts() {}

    /**
     * Finds free ports. They are held together while being drawn, so that no two are equal.
     *
     * @param count how many ports
     * @return loopback addresses on which nothing listened at the time of the call
     * @throws UncheckedIOException if a port cannot be bound
     */
    public static List<InetSocketAddress> draw(int count) {
        List<ServerSocket> held = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                held.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return held.stream()
                    .map(socket -> new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort()))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            held.forEach(FreePorts::release);
        }
    }

    private static void release(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
