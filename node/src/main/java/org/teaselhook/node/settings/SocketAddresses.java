package org.teaselhook.node.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

import io.netty.util.NetUtil;

/**
 * Socket addresses written as an IP address and a port, such as {@code 10.0.0.1:9090} or {@code [::1]:9090}.
 */
public final class SocketAddresses {

    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses an address. Host names are refused, so no name is ever resolved.
     *
     * @param text the address
     * @return the address, or empty if the text is malformed
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        int port = parsePort(text.substring(colon + 1));
        byte[] ip = parseIp(text.substring(0, colon));
        if (port < 0 || ip.length == 0) {
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(toInetAddress(ip), port));
    }

    /**
     * Formats an address as {@link #parse(String)} expects it.
     *
     * @param address a resolved address
     * @return such as {@code 10.0.0.1:9090}
     */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }

    private static int parsePort(String text) {
        boolean digits = !text.isEmpty() && text.length() <= 5 && text.chars().allMatch(c -> c >= '0' && c <= '9');
        int port = digits ? Integer.parseInt(text) : -1;
        return port <= MAX_PORT ? port : -1;
    }

    private static byte[] parseIp(String host) {
        boolean bracketed = host.length() > 2 && host.startsWith("[") && host.endsWith("]");
        String literal = bracketed ? host.substring(1, host.length() - 1) : host;
        boolean valid = bracketed ? NetUtil.isValidIpV6Address(literal) : NetUtil.isValidIpV4Address(literal);
        return valid ? NetUtil.createByteArrayFromIpAddressString(literal) : new byte[0];
    }

    private static InetAddress toInetAddress(byte[] ip) {
        try {
            return InetAddress.getByAddress(ip);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an IP address has 4 or 16 bytes", e);
        }
    }
}
