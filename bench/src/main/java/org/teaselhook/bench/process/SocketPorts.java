package org.teaselhook.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;

/** Finds the local ports of a process's TCP sockets in {@code /proc}; they identify its connections at a relay. */
public final class SocketPorts {

    private static final Path PROC = Path.of("/proc");
    private static final String SOCKET_PREFIX = "socket:[";
    private static final int LOCAL_ADDRESS_FIELD = 1;
    private static final int INODE_FIELD = 9;

    private SocketPorts() {}

    /**
     * Returns the local ports of a process.
     *
     * @param pid the process id
     * @return the ports; empty if there is no such process
     */
    public static Set<Integer> of(long pid) {
        Set<String> inodes = inodes(PROC.resolve(Long.toString(pid)).resolve("fd"));
        Set<Integer> ports = new HashSet<>();
        addPorts(PROC.resolve("net/tcp"), inodes, ports);
        addPorts(PROC.resolve("net/tcp6"), inodes, ports);
        return ports;
    }

    private static Set<String> inodes(Path descriptors) {
        Set<String> inodes = new HashSet<>();
        try (Stream<Path> links = Files.list(descriptors)) {
            links.forEach(link -> addInode(link, inodes));
        } catch (IOException e) {
            return Set.of();
        }
        return inodes;
    }

    private static void addInode(Path link, Set<String> inodes) {
        try {
            String name = Files.readSymbolicLink(link).toString();
            if (name.startsWith(SOCKET_PREFIX)) {
                inodes.add(name.substring(SOCKET_PREFIX.length(), name.length() - 1));
            }
        } catch (IOException e) {
            // The descriptor has been closed in the meantime.
            return;
        }
    }

    private static void addPorts(Path table, Set<String> inodes, Set<Integer> ports) {
        try (Stream<String> lines = Files.lines(table)) {
            lines.skip(1)
                    .map(line -> line.trim().split("\\s+"))
                    .filter(fields -> inodes.contains(fields[INODE_FIELD]))
                    .forEach(fields -> ports.add(port(fields[LOCAL_ADDRESS_FIELD])));
        } catch (IOException e) {
            // The table of IPv6 sockets does not exist on hosts without IPv6.
            return;
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1), 16);
    }
}
