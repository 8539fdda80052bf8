package org.teaselhook.node.settings;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class AgentSettingsTest {

    private static final String VALID =
            """
            name: worker-7
            zone: kottayam
            rack: rack-2
            http: 127.0.0.1:0
            entries: [10.0.0.1:9090]
            """;

    // -- parse

    @DataProvider
    public Object[][] connectedEntries() {
        return new Object[][] {{"", 8}, {"connected-entries: 1", 1}, {"connected-entries: 256", 256}};
    }

    @Test(dataProvider = "connectedEntries")
    public void shouldReadNumberOfConnectedEntries(String line, int expected) {
        int connected = AgentSettings.parse(VALID + line).fold(AgentSettings::connectedEntries, faults -> -1);
        assertEquals(connected, expected);
    }

    @DataProvider
    public Object[][] invalidConnectedEntries() {
        return new Object[][] {{"connected-entries: 0"}, {"connected-entries: 257"}, {"connected-entries: all"}};
    }

    @Test(dataProvider = "invalidConnectedEntries")
    public void shouldRejectInvalidNumberOfConnectedEntries(String line) {
        List<String> paths = AgentSettings.parse(VALID + line).fold(settings -> List.of(), faults -> faults.stream()
                .map(SettingFault::path)
                .toList());
        assertEquals(paths, List.of("connected-entries"));
    }
}
