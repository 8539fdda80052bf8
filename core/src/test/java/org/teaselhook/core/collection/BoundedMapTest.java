package org.teaselhook.core.collection;

import java.util.Optional;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class BoundedMapTest {

    @Test
    public void shouldEvictOldestKeyWhenFull() {
        BoundedMap<String, Integer> map = BoundedMap.of(2);
        map.put("a", 1);
        map.put("b", 2);
        map.put("a", 3);
        map.put("c", 4);

        assertEquals(map.find("a"), Optional.empty());
        assertEquals(map.find("b"), Optional.of(2));
        assertEquals(map.find("c"), Optional.of(4));
    }
}
