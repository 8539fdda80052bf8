package org.teaselhook.app.ctl;

import java.net.InetSocketAddress;
import java.util.List;

import org.teaselhook.node.settings.SocketAddresses;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;

/**
 * The options of commands that ask an entry.
 */
final class EntryOptions {

    @Option(
            names = {"-e", "--entry"},
            paramLabel = "IP:PORT",
            defaultValue = "127.0.0.1:8080",
            split = ",",
            converter = AddressConverter.class,
            description = "HTTP address of an entry; repeat it to name others to try. Default: ${DEFAULT-VALUE}.")
    private List<InetSocketAddress> entries;

    @Option(
            names = "--timeout",
            paramLabel = "SECONDS",
            defaultValue = "20",
            description = "How long to try before giving up. Default: ${DEFAULT-VALUE}.")
    private int timeoutSeconds;

    List<InetSocketAddress> entries() {
        return entries;
    }

    long timeoutMillis() {
        return timeoutSeconds * 1_000L;
    }

    /** Reads an address without looking up names. */
    static final class AddressConverter implements ITypeConverter<InetSocketAddress> {

        @Override
        public InetSocketAddress convert(String value) {
            return SocketAddresses.parse(value)
                    .orElseThrow(() -> new TypeConversionException("write an IP number and a port: " + value));
        }
    }
}
