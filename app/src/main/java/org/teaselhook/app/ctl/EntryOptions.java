package org.teaselhook.app.ctl;

import java.net.InetSocketAddress;
import java.util.List;

import org.teaselhook.node.settings.SocketAddresses;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;

/**
 * The options of commands that send requests to entries.
 */
final class EntryOptions {

    @Option(
            names = {"-e", "--entry"},
            paramLabel = "IP:PORT",
            defaultValue = "127.0.0.1:8080",
            split = ",",
            converter = AddressConverter.class,
            description = "HTTP address of an entry; can be repeated to try several. Default: ${DEFAULT-VALUE}.")
    private List<InetSocketAddress> entries;

    @Option(
            names = "--timeout",
            paramLabel = "SECONDS",
            defaultValue = "20",
            description = "The timeout, including retries. Default: ${DEFAULT-VALUE}.")
    private int timeoutSeconds;

    List<InetSocketAddress> entries() {
        return entries;
    }

    long timeoutMillis() {
        return timeoutSeconds * 1_000L;
    }

    /** Parses an address without DNS lookups. */
    static final class AddressConverter implements ITypeConverter<InetSocketAddress> {

        @Override
        public InetSocketAddress convert(String value) {
            return SocketAddresses.parse(value)
                    .orElseThrow(() -> new TypeConversionException("not an IP address and a port: " + value));
        }
    }
}
