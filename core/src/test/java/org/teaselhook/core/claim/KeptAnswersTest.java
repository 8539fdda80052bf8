package org.teaselhook.core.claim;

import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class KeptAnswersTest {

    private static final long KEEP_NANOS = 100;
    private static final long ANSWER_BYTES = 72;

    private KeptAnswers<String> kept;

    @BeforeMethod
    public void start() {
        kept = KeptAnswers.of(600, KEEP_NANOS);
    }

    // -- find

    @Test
    public void shouldKeepUntilTimeIsOver() {
        kept.put("a", "answer", ANSWER_BYTES, 0);
        assertEquals(kept.find("a", KEEP_NANOS - 1), Optional.of("answer"));
        assertEquals(kept.find("a", KEEP_NANOS), Optional.empty());
        assertEquals(kept.bytes(), 0);
    }

    // -- put

    @Test
    public void shouldDropOldestBeyondBytes() {
        for (int i = 0; i < 5; i++) {
            kept.put("key-" + i, "answer", ANSWER_BYTES, i);
        }
        assertEquals(kept.size(), 3);
        assertEquals(kept.find("key-1", 5), Optional.empty());
        assertEquals(kept.find("key-2", 5), Optional.of("answer"));
    }

    @Test
    public void shouldReplaceAndCountOnce() {
        kept.put("a", "old", ANSWER_BYTES, 0);
        kept.put("a", "new", 2 * ANSWER_BYTES, 1);
        assertEquals(kept.find("a", 2), Optional.of("new"));
        assertEquals(kept.bytes(), 2 * ANSWER_BYTES + 128);
    }

    @Test
    public void shouldNotKeepAnswerLargerThanBound() {
        kept.put("a", "answer", ANSWER_BYTES, 0);
        kept.put("big", "answer", 601, 1);
        assertEquals(kept.find("big", 1), Optional.empty());
        assertEquals(kept.find("a", 1), Optional.of("answer"));
    }
}
