package org.teaselhook.net.log;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class LogLineTest {

    // -- with

    @DataProvider
    public Object[][] values() {
        return new Object[][] {
            {"plain", "plain"},
            {7, "7"},
            {"", "\"\""},
            {"two words", "\"two words\""},
            {"a=b", "\"a=b\""},
            {"say \"no\"", "\"say \\\"no\\\"\""},
            {"line\nbreak", "\"line\\u000abreak\""},
        };
    }

    @Test(dataProvider = "values")
    public void shouldKeepEachEventOnOneLine(Object value, String expected) {
        assertEquals(LogLine.of("x").with("k", value).toString(), "event=x k=" + expected);
    }
}
