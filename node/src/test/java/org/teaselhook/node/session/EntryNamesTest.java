package org.teaselhook.node.session;

import java.util.List;

import org.teaselhook.wire.EntryHeartbeat;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class EntryNamesTest {

    private static final EntryPlace FIRST = new EntryPlace("127.0.0.1:1", "kottayam");
    private static final EntryPlace SECOND = new EntryPlace("127.0.0.1:2", "thrissur");

    // -- addTo

    @Test
    public void shouldSendEntryListFirstAndAfterEachChange() {
        EntryNames entryList = new EntryNames();
        assertEquals(next(entryList, FIRST), List.of("127.0.0.1:1"));
        assertEquals(next(entryList, FIRST), List.of());
        assertEquals(next(entryList, FIRST, SECOND), List.of("127.0.0.1:1", "127.0.0.1:2"));
        assertEquals(next(entryList, FIRST, SECOND), List.of());
        assertEquals(next(entryList, SECOND), List.of("127.0.0.1:2"));
    }

    @Test
    public void shouldSendZonesInEntryOrder() {
        EntryHeartbeat.Builder heartbeat = EntryHeartbeat.newBuilder();
        new EntryNames().addTo(heartbeat, List.of(FIRST, SECOND));
        assertEquals(List.copyOf(heartbeat.getEntryZonesList()), List.of("kottayam", "thrissur"));
    }

    private static List<String> next(EntryNames entryList, EntryPlace... liveEntries) {
        EntryHeartbeat.Builder heartbeat = EntryHeartbeat.newBuilder();
        entryList.addTo(heartbeat, List.of(liveEntries));
        return List.copyOf(heartbeat.getEntriesList());
    }
}
