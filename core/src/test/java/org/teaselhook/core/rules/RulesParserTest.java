package org.teaselhook.core.rules;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

public class RulesParserTest {

    private static final String VALID =
            """
            # Patchdesk
            kind patchdesk photo-check idempotent timeout=4s run=300ms  # Meera: callers on the line
            kind patchdesk booking once timeout=5s run=200ms   # Meera: one crew: always

            customer pandal weight=3 max-tasks=2000 # Meera: Monday
            limit job-tasks 400\t# Ilze: school orders
            zone thrissur out # Anil: power work
            """;

    // -- parse

    @Test
    public void shouldParseEveryKindOfRule() {
        Rules rules = accepted(VALID);

        assertEquals(
                rules.kind("patchdesk", "booking"),
                Optional.of(
                        new KindRule("patchdesk", "booking", false, Duration.ofSeconds(5), Duration.ofMillis(200))));
        assertTrue(rules.kind("patchdesk", "photo-check").orElseThrow().idempotent());
        assertEquals(rules.customer("pandal"), Optional.of(new CustomerRule("pandal", 3, 2000)));
        assertEquals(rules.limit(LimitKind.JOB_TASKS).orElse(0), 400);
        assertEquals(rules.zonesOut(), Set.of("thrissur"));
    }

    @Test
    public void shouldParseCarriageReturnsAndMissingLastLineFeed() {
        assertEquals(accepted(VALID.replace("\n", "\r\n").stripTrailing()), accepted(VALID));
    }

    @DataProvider
    public Object[][] badLines() {
        return new Object[][] {
            {"zone a out", RuleFaultKind.NO_AUTHOR},
            {"zone a out # power work", RuleFaultKind.NO_AUTHOR},
            {"zone a out # : power work", RuleFaultKind.NO_AUTHOR},
            {"zone a out # Anil:", RuleFaultKind.NO_AUTHOR},
            {"zone a in # Anil: done", RuleFaultKind.WRONG_WORDS},
            {"zone a # Anil: done", RuleFaultKind.WRONG_WORDS},
            {"zone -a out # Anil: done", RuleFaultKind.BAD_NAME},
            {"zone a\u0000 out # Anil: done", RuleFaultKind.BAD_CHARACTER},
            {"Zone a out # Anil: done", RuleFaultKind.UNKNOWN_RULE},
            {"kind s k # M: w", RuleFaultKind.WRONG_WORDS},
            {"kind s k twice timeout=1s run=1s # M: w", RuleFaultKind.WRONG_WORDS},
            {"kind s k once timeout=1s # M: w", RuleFaultKind.MISSING_KEY},
            {"kind s k once timeout=1s run=1s size=4 # M: w", RuleFaultKind.UNKNOWN_KEY},
            {"kind s k once timeout=1s run=1s run=2s # M: w", RuleFaultKind.REPEATED_KEY},
            {"kind s k once timeout=0s run=1s # M: w", RuleFaultKind.BAD_VALUE},
            {"kind s k once timeout=1 run=1s # M: w", RuleFaultKind.BAD_VALUE},
            {"kind s k once timeout=-1s run=1s # M: w", RuleFaultKind.BAD_VALUE},
            {"kind s k once timeout=99999999999999999999s run=1s # M: w", RuleFaultKind.BAD_VALUE},
            {"kind s k once 4s timeout=1s run=1s # M: w", RuleFaultKind.WRONG_WORDS},
            {"customer c weight=0 max-tasks=1 # M: w", RuleFaultKind.BAD_VALUE},
            {"limit jobs 4 # M: w", RuleFaultKind.WRONG_WORDS},
            {"limit job-tasks 0 # M: w", RuleFaultKind.BAD_VALUE},
        };
    }

    @Test(dataProvider = "badLines")
    public void shouldRejectBadLineWithRemedy(String line, RuleFaultKind kind) {
        List<RuleFault> faults = faults("# first\n" + line + "\n");

        assertEquals(faults.stream().map(RuleFault::kind).toList(), List.of(kind), faults.toString());
        assertEquals(faults.get(0).line(), 2);
        assertFalse(faults.get(0).remedy().isBlank());
    }

    @Test
    public void shouldReportAllFaultsAtOnce() {
        List<RuleFault> faults = faults("zone a out\nzone b out # A: x\nzone b out # B: y\nrubbish\n");

        assertEquals(faults.stream().map(RuleFault::line).toList(), List.of(1, 3, 4, 4));
        assertEquals(faults.get(1).kind(), RuleFaultKind.REPEATED_RULE);
        assertTrue(faults.get(1).remedy().contains("line 2"), faults.get(1).remedy());
    }

    @Test
    public void shouldReturnResultForAnyText() {
        long seed = System.nanoTime();
        Random random = new Random(seed);
        String alphabet = "kind zone out once run=1s # A: \n\r\t=\u0000\ud800\ufeffé\u2028";
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder(VALID);
            for (int edit = 0; edit <= random.nextInt(30); edit++) {
                char c = random.nextInt(4) == 0
                        ? (char) random.nextInt(0x10000)
                        : alphabet.charAt(random.nextInt(alphabet.length()));
                int at = random.nextInt(text.length());
                text.replace(at, at + random.nextInt(2), String.valueOf(c));
            }
            assertHasResult(text.toString(), seed);
        }
    }

    private static void assertHasResult(String text, long seed) {
        try {
            assertNotNull(RulesParser.parse(text).fold(Rules::zonesOut, List::copyOf));
        } catch (RuntimeException e) {
            throw new AssertionError("seed " + seed, e);
        }
    }

    // -- RulesText

    @Test
    public void shouldPreserveOtherLinesWhenZonesGoOutAndIn() {
        RulesText text = RulesText.of(VALID);

        RulesText out = text.withZoneOut("kottayam", "Anil: K", "power\nwork # two");
        assertEquals(accepted(out.text()).zonesOut(), Set.of("thrissur", "kottayam"));
        assertEquals(out.withZoneOut("kottayam", "Binu", "again").text(), out.text());
        assertEquals(out.withZoneIn("kottayam").text(), VALID);
        assertEquals(accepted(out.withZoneIn("thrissur").text()).zonesOut(), Set.of("kottayam"));
    }

    @Test
    public void shouldAddAtMostOneLine() {
        String text =
                RulesText.empty().withZoneOut("a out # A: b\nzone", "\n", "").text();

        assertEquals(RulesText.of(text).lines().size(), 1);
        assertFalse(faults(text).isEmpty());
    }

    // -- RulesDiff

    @Test
    public void shouldListLinesThatDiffer() {
        RulesText from = RulesText.of("a\nb\nb\n");

        assertEquals(RulesDiff.between(from, RulesText.of("b\nc\na\n")).lines(), List.of("- b", "+ c"));
        assertTrue(RulesDiff.between(from, RulesText.of("b\nb\na")).isEmpty());
    }

    private static Rules accepted(String text) {
        return RulesParser.parse(text).fold(rules -> rules, faults -> {
            throw new AssertionError(faults);
        });
    }

    private static List<RuleFault> faults(String text) {
        return RulesParser.parse(text).fold(rules -> List.of(), faults -> faults);
    }
}
