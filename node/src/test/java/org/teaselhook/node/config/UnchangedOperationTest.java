package org.teaselhook.node.config;

import org.teaselhook.core.config.ConfigVersion;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class UnchangedOperationTest {

    private static final String RULES = "kind s k once timeout=4s run=300ms  # Anil: the only kind\n";

    // -- edit

    @Test
    public void shouldNotApplyOperationOnRetryAfterItWasAnsweredUnchanged() {
        ConfigStore store = ConfigStore.of(new DirectTable(), () -> 0);
        store.apply(ConfigVersion.NONE, RULES, "op-first", "Anil");

        assertTrue(zoneIn(store) instanceof ApplyResult.Unchanged);
        store.edit("zone z out", text -> text.withZoneOut("z", "Binu", "power"), "op-out", "Binu");
        assertTrue(
                zoneIn(store) instanceof ApplyResult.Unchanged,
                "a late retry of the operation reverted a newer change");

        ConfigRecord current = store.current().toCompletableFuture().join().orElseThrow();
        assertEquals(current.operation(), "op-out");
    }

    private static ApplyResult zoneIn(ConfigStore store) {
        return store.edit("zone z in", text -> text.withZoneIn("z"), "op-in", "Anil")
                .toCompletableFuture()
                .join();
    }
}
