package org.teaselhook.bench.config;

import java.util.Random;

import org.teaselhook.core.rules.RulesParser;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class RandomRulesEditTest {

    private static final String FIRST =
            "limit job-tasks 400  # Anil: first\nkind a b once timeout=1s run=1ms  # B: x\n";

    // -- edit

    @Test
    public void shouldStayValidAfterManyEdits() {
        Random random = new Random(1);
        String text = FIRST;
        for (int i = 0; i < 200; i++) {
            text = RandomRulesEdit.edit(text, i % 2 == 0 ? "anil" : "ilze", "race-" + i, random);
            assertEquals(RulesParser.parse(text).fold(rules -> "", faults -> faults.toString()), "");
        }
    }
}
