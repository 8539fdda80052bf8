package org.teaselhook.node.settings;

import java.nio.file.Path;
import java.util.List;

import org.teaselhook.core.placement.PlacementPolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class EntrySettingsTest {

    private static final String VALID =
            """
            name: entry-1
            zone: thrissur
            http: 127.0.0.1:0
            grpc: "[::1]:9090"
            table: [127.0.0.1:7000]
            """;

    // -- parse

    @Test
    public void shouldUseDefaultsForOmittedSettings() {
        EntrySettings settings = EntrySettings.parse(VALID).fold(s -> s, faults -> fail(faults));

        assertEquals(settings.limits(), EntryLimits.standard());
        assertEquals(settings.limits().maxTasksPerJob(), 512);
        assertEquals(SocketAddresses.format(settings.advertisedGrpc()), "[0:0:0:0:0:0:0:1]:9090");
        assertEquals(settings.peers(), List.of());
        assertEquals(settings.placementPolicy(), PlacementPolicy.GRANTS);
    }

    @Test
    public void shouldReportAllFaultsTogether() {
        String yaml =
                """
                name: "two words"
                http: localhost:8080
                grpc: 127.0.0.1:70000
                table: []
                peers: [127.0.0.1:1, nowhere]
                placement-policy: best
                hedging: perhaps
                colour: green
                limits:
                  max-body-bytes: 0
                  max-tasks-per-job: many
                  max-bodies: 1
                """;

        assertEquals(
                paths(EntrySettings.parse(yaml)),
                List.of(
                        "grpc",
                        "name",
                        "zone",
                        "http",
                        "table",
                        "peers[1]",
                        "placement-policy",
                        "hedging",
                        "limits.max-body-bytes",
                        "limits.max-tasks-per-job",
                        "colour",
                        "limits.max-bodies"));
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {"", SettingFaultKind.MALFORMED},
            {"- a\n- b\n", SettingFaultKind.MALFORMED},
            {"name: [unclosed", SettingFaultKind.NOT_YAML},
            {"name: a\nname: b\n", SettingFaultKind.NOT_YAML},
            {VALID + "limits: 7\n", SettingFaultKind.MALFORMED},
            {VALID + "placement-policy: [grants]\n", SettingFaultKind.MALFORMED},
            {VALID + "hedging: [true]\n", SettingFaultKind.MALFORMED},
            {VALID + "limits: {kept-answers-bytes: 99999999999999999999}\n", SettingFaultKind.OUT_OF_RANGE},
        };
    }

    @Test(dataProvider = "malformed")
    public void shouldRejectWithOneFault(String yaml, SettingFaultKind kind) {
        List<SettingFault> faults = faults(EntrySettings.parse(yaml));

        assertEquals(faults.size(), 1, faults.toString());
        assertEquals(faults.get(0).kind(), kind);
        assertTrue(!faults.get(0).remedy().isBlank());
    }

    @Test
    public void shouldReportUnreadableFile() {
        SettingsResult<EntrySettings> result = SettingsFile.read(Path.of("no", "such.yaml"), EntrySettings::parse);

        assertEquals(faults(result).get(0).kind(), SettingFaultKind.UNREADABLE);
    }

    // -- AgentSettings

    @Test
    public void shouldReportMissingAndInvalidSettingsOfAgent() {
        assertEquals(
                paths(AgentSettings.parse("slots: 0\n")), List.of("name", "zone", "rack", "slots", "http", "entries"));
    }

    private static EntrySettings fail(List<SettingFault> faults) {
        throw new AssertionError(faults);
    }

    private static List<String> paths(SettingsResult<?> result) {
        return faults(result).stream().map(SettingFault::path).toList();
    }

    private static List<SettingFault> faults(SettingsResult<?> result) {
        return result.fold(settings -> List.of(), faults -> faults);
    }
}
