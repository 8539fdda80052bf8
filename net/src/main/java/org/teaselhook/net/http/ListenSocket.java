package org.teaselhook.net.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * A socket that listens before its server has started: connections that are opened meanwhile wait instead of being
 * refused.
 */
public final class ListenSocket implements AutoCloseable {

    private final InetSocketAddress address;
    private final ServerSocketChannel channel;

    private ListenSocket(InetSocketAddress address, ServerSocketChannel channel) {
        this.address = address;
        this.channel = channel;
    }

    // -- factories

    /**
     * Listens on an address.
     *
     * @param address the address; port 0 picks a free one
     * @return the listening socket
     * @throws IllegalStateException if the address cannot be bound
     */
    public static ListenSocket bind(InetSocketAddress address) {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, EventLoops.BACKLOG);
            return new ListenSocket(address, channel);
        } catch (IOException e) {
            throw new IllegalStateException("cannot listen on " + address + "; choose a free address", e);
        }
    }

    // -- accessors

    /**
     * Returns the address that it was bound to.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return address;
    }

    ServerSocketChannel channel() {
        return channel;
    }

    // -- closing

    /** Closes the socket, unless its server has closed it already. */
    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot close the socket on " + address, e);
        }
    }
}
