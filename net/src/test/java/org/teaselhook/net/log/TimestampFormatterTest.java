package org.teaselhook.net.log;

import java.time.Instant;
import java.time.ZoneOffset;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class TimestampFormatterTest {

    private final TimestampFormatter formatter = TimestampFormatter.in(ZoneOffset.UTC);

    @DataProvider
    public Object[][] times() {
        return new Object[][] {
            {"2026-12-04T09:30:00Z", "2026-12-04T09:30:00.000"},
            {"2026-12-04T09:30:00.007999Z", "2026-12-04T09:30:00.007"},
            {"2026-12-04T09:30:00.042Z", "2026-12-04T09:30:00.042"},
            {"2026-12-04T09:30:01.999Z", "2026-12-04T09:30:01.999"},
            {"2026-12-04T09:29:59.100Z", "2026-12-04T09:29:59.100"},
            {"1969-12-31T23:59:59.5Z", "1969-12-31T23:59:59.500"},
        };
    }

    /** Times may decrease, as the clock may be set back. */
    @Test(dataProvider = "times")
    public void shouldFormatTimeToTheMillisecond(String instant, String expected) {
        StringBuilder line = new StringBuilder();
        formatter.append(line, Instant.parse(instant));

        assertEquals(line.toString(), expected);
    }
}
