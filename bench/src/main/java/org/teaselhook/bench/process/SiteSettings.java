package org.teaselhook.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Writes the settings files of a site's processes. */
final class SiteSettings {

    private final Path directory;

    SiteSettings(Path directory) {
        this.directory = directory;
    }

    Path entry(
            String name,
            String zone,
            InetSocketAddress http,
            InetSocketAddress grpc,
            InetSocketAddress advertisedGrpc,
            InetSocketAddress table,
            List<InetSocketAddress> peers,
            String policy) {
        String yaml =
                """
                name: %s
                zone: %s
                http: %s
                grpc: %s
                advertised-grpc: %s
                table: [%s]
                peers: [%s]
                placement-policy: %s
                """
                        .formatted(
                                name,
                                zone,
                                text(http),
                                text(grpc),
                                text(advertisedGrpc),
                                text(table),
                                text(peers),
                                policy);
        return write(name, yaml);
    }

    Path agent(String name, String zone, int slots, InetSocketAddress http, List<InetSocketAddress> entries) {
        String yaml =
                """
                name: %s
                zone: %s
                rack: rack-%s
                slots: %d
                http: %s
                entries: [%s]
                """
                        .formatted(name, zone, zone, slots, text(http), text(entries));
        return write(name, yaml);
    }

    private Path write(String name, String yaml) {
        try {
            return Files.writeString(directory.resolve(name + ".yaml"), yaml);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String text(List<InetSocketAddress> addresses) {
        return addresses.stream().map(SiteSettings::text).collect(Collectors.joining(", "));
    }
}
