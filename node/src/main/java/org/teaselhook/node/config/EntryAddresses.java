package org.teaselhook.node.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.settings.SocketAddresses;

/**
 * Looks up the addresses of entries in the table service.
 */
public final class EntryAddresses {

    private static final int MAX_ENTRIES = 1_000;

    private EntryAddresses() {}

    /**
     * Reads the gRPC addresses of all entries that have a row, including those that are down.
     *
     * @param table the table service
     * @return completes with the addresses; none if the table service does not answer
     */
    public static CompletionStage<List<InetSocketAddress>> readAll(TableService table) {
        return table.scan(ConfigKeys.ENTRIES_FROM, ConfigKeys.ENTRIES_TO, MAX_ENTRIES)
                .thenApply(EntryAddresses::addresses);
    }

    private static List<InetSocketAddress> addresses(TableResult result) {
        if (!(result instanceof TableResult.Rows rows)) {
            LogLine.of("entries-unread").with("result", result).warn();
            return List.of();
        }
        return rows.rows().stream()
                .flatMap(row -> ConfigCodec.member(row).stream())
                .flatMap(member -> SocketAddresses.parse(member.grpcAddress()).stream())
                .toList();
    }
}
