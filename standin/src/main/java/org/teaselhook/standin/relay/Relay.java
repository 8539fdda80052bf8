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
 * A TCP relay between two loopback ports. On command its connections go silent without being closed, as when something
 * between the two ends has lost track of them.
 *
 * <pre>{@code
 * Relay relay = Relay.start(group, serverAddress);
 * relay.silence(EnumSet.allOf(RelayDirection.class));   // present connections swallow bytes for good
 * relay.silenceNew(EnumSet.allOf(RelayDirection.class)); // new ones as well, until heal()
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
     * @param server the address that connections are passed on to; nothing need listen there yet
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
     * Returns the number of bytes passed on so far.
     *
     * @param direction the direction
     * @return the sum over all connections, in bytes
     */
    public long bytes(RelayDirection direction) {
        return state.bytes(direction);
    }

    /**
     * Returns the number of connections that neither side has seen closed.
     *
     * @return the number of connections, silent ones included
     */
    public int connections() {
        return links.size();
    }

    // -- commands

    /**
     * Lets the present connections swallow all bytes, and the end of the stream, for good.
     *
     * @param directions the directions to silence
     */
    public void silence(Set<RelayDirection> directions) {
        silence(directions, clientPort -> true);
    }

    /**
     * Lets some of the present connections swallow all bytes, and the end of the stream, for good.
     *
     * @param directions the directions to silence
     * @param clientPorts selects connections by the port that their client connects from
     */
    public void silence(Set<RelayDirection> directions, IntPredicate clientPorts) {
        links.stream().filter(link -> clientPorts.test(link.clientPort())).forEach(link -> link.silence(directions));
    }

    /**
     * Lets connections that are made from now on swallow all bytes from their start.
     *
     * @param directions the directions to silence; with none, new connections work
     */
    public void silenceNew(Set<RelayDirection> directions) {
        silenceNew(directions, clientPort -> true);
    }

    /**
     * Lets some connections that are made from now on swallow all bytes from their start, until {@link #heal()}.
     *
     * @param directions the directions to silence
     * @param clientPorts selects connections by the port that their client connects from; asked on a traffic thread
     */
    public void silenceNew(Set<RelayDirection> directions, IntPredicate clientPorts) {
        state.silenceNew(new RelaySilence(directions, clientPorts));
    }

    /** Lets new connections work; those gone silent stay so. */
    public void heal() {
        state.silenceNew(RelaySilence.none());
    }

    /**
     * Delays what passes in either direction from now on.
     *
     * @param millis the one-way latency in milliseconds, zero or more
     */
    public void delayBy(long millis) {
        state.delayBy(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Closes the present connections on both sides. */
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
                join(client, connected.channel());
            } else {
                client.close();
            }
        });
    }

    private void join(Channel client, Channel target) {
        RelayLink link = RelayLink.join(client, target, state);
        links.add(link);
        link.closed().whenComplete((nothing, error) -> links.remove(link));
    }
}
