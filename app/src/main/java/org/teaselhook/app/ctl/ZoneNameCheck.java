package org.teaselhook.app.ctl;

import java.util.SortedSet;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;

/**
 * Warns if a zone that was taken out has no live process, as the name may be misspelt.
 */
final class ZoneNameCheck {

    private static final int OK = 200;

    private final EntryOptions entries;
    private final Output output;

    ZoneNameCheck(EntryOptions entries, Output output) {
        this.entries = entries;
        this.output = output;
    }

    /** Prints a warning to standard error if no live process is in the zone. */
    void warn(String zone) {
        try (EntryClient client = new EntryClient(entries)) {
            EntryReply result = client.send(HttpCall.of("GET", "/v1/admin/status"));
            if (result instanceof EntryReply.Replied replied && replied.reply().status() == OK) {
                warn(zone, zonesInUse(replied.reply()));
            }
        }
    }

    private void warn(String zone, SortedSet<String> inUse) {
        if (!inUse.contains(zone)) {
            output.err().println("warning: no live process is in zone " + zone + "; zones in use: " + inUse);
        }
    }

    private static SortedSet<String> zonesInUse(HttpReply status) {
        SortedSet<String> zones = new TreeSet<>();
        for (JsonNode process : StatusDocument.of(status).processes()) {
            if (!StatusDocument.isSilent(process)) {
                zones.add(process.path("zone").asText());
            }
        }
        return zones;
    }
}
