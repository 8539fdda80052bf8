package org.teaselhook.node.session;

import java.util.List;

import org.teaselhook.wire.EntryHeartbeat;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class EntryListUpdatesTest {

    private static final EntryLocation FIRST = new EntryLocation("127.0.0.1:1", "kottayam");
    private static final EntryLocation SECOND = new EntryLocation("127.0.0.1:2", "thrissur");

    // -- addTo

    @Test
    public void shouldSendEntryListFirstAndAfterEachChange() {
        EntryListUpdates entryList = new EntryListUpdates();
        assertEquals(next(entryList, FIRST), List.of("127.0.0.1:1"));
        assertEquals(next(entryList, FIRST), List.of());
        assertEquals(next(entryList, FIRST, SECOND), List.of("127.0.0.1:1", "127.0.0.1:2"));
        assertEquals(next(entryList, FIRST, SECOND), List.of());
        assertEquals(next(entryList, SECOND), List.of("127.0.0.1:2"));
    }

    @Test
    public void shouldSendZonesInEntryOrder() {
        EntryHeartbeat.Builder heartbeat = EntryHeartbeat.newBuilder();
        new EntryListUpdates().addTo(heartbeat, List.of(FIRST, SECOND));
        assertEquals(List.copyOf(heartbeat.getEntryZonesList()), List.of("kottayam", "thrissur"));
    }

    private static List<String> next(EntryListUpdates entryList, EntryLocation... liveEntries) {
        EntryHeartbeat.Builder heartbeat = EntryHeartbeat.newBuilder();
        entryList.addTo(heartbeat, List.of(liveEntries));
        return List.copyOf(heartbeat.getEntriesList());
    }
}
