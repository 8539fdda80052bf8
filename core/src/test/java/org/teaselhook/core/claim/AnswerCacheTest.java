package org.teaselhook.core.claim;

import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class AnswerCacheTest {

    private static final long MAX_AGE_NANOS = 100;
    private static final long ANSWER_BYTES = 72;

    private AnswerCache<String> cache;

    @BeforeMethod
    public void createCache() {
        cache = AnswerCache.of(600, MAX_AGE_NANOS);
    }

    // -- find

    @Test
    public void shouldEvictAnswerAtMaxAge() {
        cache.put("a", "answer", ANSWER_BYTES, 0);
        assertEquals(cache.find("a", MAX_AGE_NANOS - 1), Optional.of("answer"));
        assertEquals(cache.find("a", MAX_AGE_NANOS), Optional.empty());
        assertEquals(cache.bytes(), 0);
    }

    // -- put

    @Test
    public void shouldEvictOldestWhenFull() {
        for (int i = 0; i < 5; i++) {
            cache.put("key-" + i, "answer", ANSWER_BYTES, i);
        }
        assertEquals(cache.size(), 3);
        assertEquals(cache.find("key-1", 5), Optional.empty());
        assertEquals(cache.find("key-2", 5), Optional.of("answer"));
    }

    @Test
    public void shouldCountReplacedAnswerOnce() {
        cache.put("a", "old", ANSWER_BYTES, 0);
        cache.put("a", "new", 2 * ANSWER_BYTES, 1);
        assertEquals(cache.find("a", 2), Optional.of("new"));
        assertEquals(cache.bytes(), 2 * ANSWER_BYTES + 128);
    }

    @Test
    public void shouldNotStoreAnswerLargerThanCache() {
        cache.put("a", "answer", ANSWER_BYTES, 0);
        cache.put("big", "answer", 601, 1);
        assertEquals(cache.find("big", 1), Optional.empty());
        assertEquals(cache.find("a", 1), Optional.of("answer"));
    }
}
