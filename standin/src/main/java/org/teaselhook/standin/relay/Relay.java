package org.teaselhook.standin.relay;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A TCP relay between two loopback ports that can blackhole connections: it drops their bytes without closing them,
 * like a firewall or NAT device that has lost the state of a connection.
 *
 * <pre>{@code
 * Relay relay = Relay.start(group, serverAddress);
 * relay.blackhole(EnumSet.allOf(RelayDirection.class)); // existing connections drop all bytes permanently
 * relay.blackholeNewConnections(EnumSet.allOf(RelayDirection.class)); // so do new ones, until heal()
 * }</pre>
 */
public final class Relay implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final InetSocketAddress server;
    private final EventLoopGroup group;
    private final RelayState state = new RelayState();
    private final Set<RelayLink> links = ConcurrentHashMap.newKeySet();
    private final Channel listener;

    private Relay(EventLoopGroup group, InetSocketAddress server) {
        this.group = Objects.requireNonNull(group, "group is null");
        this.server = Objects.requireNonNull(server, "server is null");
        this.listener = listen();
    }

    // -- factories

    /**
     * Starts a relay on a free loopback port.
     *
     * @param group runs the relay's connections; the caller shuts it down after closing the relay
     * @param server the address that connections are forwarded to; nothing needs to listen there yet
     * @return the running relay
     */
    public static Relay start(EventLoopGroup group, InetSocketAddress server) {
        return new Relay(group, server);
    }

    // -- accessors

    /**
     * Returns the address to connect to.
     *
     * @return a loopback address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Returns the number of bytes forwarded so far.
     *
     * @param direction the direction
     * @return the sum over all connections, in bytes
     */
    public long bytes(RelayDirection direction) {
        return state.bytes(direction);
    }

    /**
     * Returns the number of connections that are still open on at least one side.
     *
     * @return the number of connections, including those that drop bytes
     */
    public int connections() {
        return links.size();
    }

    // -- faults

    /**
     * Drops all bytes and the end of the stream of all existing connections, permanently.
     *
     * @param directions the directions in which to drop bytes
     */
    public void blackhole(Set<RelayDirection> directions) {
        blackhole(directions, clientPort -> true);
    }

    /**
     * Drops all bytes and the end of the stream of the selected existing connections, permanently.
     *
     * @param directions the directions in which to drop bytes
     * @param clientPorts selects connections by their client port
     */
    public void blackhole(Set<RelayDirection> directions, IntPredicate clientPorts) {
        links.stream().filter(link -> clientPorts.test(link.clientPort())).forEach(link -> link.blackhole(directions));
    }

    /**
     * Drops all bytes of connections that are made from now on, until {@link #heal()}.
     *
     * @param directions the directions in which to drop bytes; if empty, new connections work
     */
    public void blackholeNewConnections(Set<RelayDirection> directions) {
        blackholeNewConnections(directions, clientPort -> true);
    }

    /**
     * Drops all bytes of the selected connections that are made from now on, until {@link #heal()}.
     *
     * @param directions the directions in which to drop bytes
     * @param clientPorts selects connections by their client port; called on an I/O thread
     */
    public void blackholeNewConnections(Set<RelayDirection> directions, IntPredicate clientPorts) {
        state.blackholeNewConnections(new RelayBlackhole(directions, clientPorts));
    }

    /** Lets new connections work; existing connections that drop bytes continue to do so. */
    public void heal() {
        state.blackholeNewConnections(RelayBlackhole.none());
    }

    /**
     * Delays bytes in both directions from now on.
     *
     * @param millis the one-way latency in milliseconds, zero or more
     */
    public void setLatencyMillis(long millis) {
        state.setLatencyNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Closes all existing connections on both sides. */
    public void closeConnections() {
        links.forEach(RelayLink::close);
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        closeConnections();
    }

    // -- connections

    private Channel listen() {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel client) {
                        connect(client);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    private void connect(Channel client) {
        ChannelFuture connected = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(server);
        connected.addListener(done -> {
            if (done.isSuccess()) {
                openLink(client, connected.channel());
            } else {
                client.close();
            }
        });
    }

    private void openLink(Channel client, Channel upstream) {
        RelayLink link = RelayLink.open(client, upstream, state);
        links.add(link);
        link.closed().whenComplete((ignored, error) -> links.remove(link));
    }
}
