package org.teaselhook.app.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds a free port.
 */
final class FreePort {

    private FreePort() {}

    /** Returns a port of 127.0.0.1 that was free at the time of the call. */
    static int find() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
