package org.teaselhook.bench.capacity;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

public final class LiveHeapTest {

    private static final String HISTOGRAM =
            """
            4711:
             num     #instances         #bytes  class name (module)
            -------------------------------------------------------
               1:         20541        1893832  [B (java.base@17.0.15)
               2:          9134         219216  org.example.Total
            Total         29675        2113048
            """;

    // -- parse

    @Test
    public void shouldParseBytesOfTotalLine() {
        assertEquals(LiveHeap.parse(HISTOGRAM), 2_113_048.0);
    }

    @Test
    public void shouldRefuseOutputWithoutTotalLine() {
        assertThrows(IllegalStateException.class, () -> LiveHeap.parse("4711:\njava.io.IOException: no such process"));
    }
}
