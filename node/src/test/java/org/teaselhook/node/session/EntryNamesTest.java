package org.teaselhook.node.session;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class EntryNamesTest {

    private static final List<String> ONE = List.of("127.0.0.1:1");
    private static final List<String> TWO = List.of("127.0.0.1:1", "127.0.0.1:2");

    // -- next

    @Test
    public void shouldNameEntriesAfterChangeAndNowAndThen() {
        EntryNames names = new EntryNames();
        assertEquals(names.next(ONE), ONE);
        for (int i = 1; i < EntryNames.REPEAT_HEARTBEATS; i++) {
            assertEquals(names.next(ONE), List.of());
        }
        assertEquals(names.next(ONE), ONE);
        assertEquals(names.next(TWO), TWO);
        assertEquals(names.next(TWO), List.of());
    }
}
