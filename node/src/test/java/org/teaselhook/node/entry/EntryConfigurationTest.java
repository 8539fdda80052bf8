package org.teaselhook.node.entry;

import java.util.ArrayList;
import java.util.List;

import org.teaselhook.core.config.VersionedRules;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.session.EntryIdentity;
import org.teaselhook.wire.ConfigDocument;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EntryConfigurationTest {

    private static final long MILLI = 1_000_000L;
    private static final AgentInfo AGENT = new AgentInfo(Incarnation.of(7), "worker-1", "z", "r", 8);

    private final List<VersionedRules> applied = new ArrayList<>();
    private EntryConfiguration configuration;

    @BeforeMethod
    public void start() {
        applied.clear();
        EntryIdentity self = new EntryIdentity("entry-1", Incarnation.of(1), "z", "127.0.0.1:1");
        configuration = new EntryConfiguration(self, 0, applied::add);
        configuration.offer(2, "", "op-2");
    }

    // -- agentReportedVersion

    @Test
    public void shouldRequestOnlyNewerConfigurationFromOneAgentAtATime() {
        assertFalse(configuration.agentReportedVersion(0, AGENT, 2));
        assertTrue(configuration.agentReportedVersion(0, AGENT, 3));
        assertFalse(configuration.agentReportedVersion(199 * MILLI, AGENT, 3));
        assertTrue(configuration.agentReportedVersion(200 * MILLI, AGENT, 3));
    }

    @Test
    public void shouldCatchUpWithConfigurationFromAgent() {
        configuration.agentReportedVersion(0, AGENT, 3);
        assertTrue(configuration.holder().state().isBehind());

        configuration.configReceived(ConfigDocument.newBuilder()
                .setVersion(3)
                .setText("zone z out # Anil: power work\n")
                .build());
        assertFalse(configuration.holder().state().isBehind());
        assertTrue(configuration.rules().isZoneOut("z"));
        assertEquals(applied.size(), 2);
    }
}
