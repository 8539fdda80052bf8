package org.teaselhook.core.route;

import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertSame;

public class RoutesTest {

    private static final Routes HELD =
            new Routes(50, 7, List.of(route("wide", "/a/"), route("narrow", "/a/b/")), Set.of("vidzeme-a"));

    // -- newer

    @Test
    public void shouldKeepHeldRoutesWhenReadIsStale() {
        assertSame(HELD.newer(new Routes(40, 8, List.of(), Set.of())), HELD);
        assertSame(HELD.newer(new Routes(60, 6, List.of(), Set.of())), HELD);
    }

    @Test
    public void shouldKeepHeldRoutesWhenContentIsUnchanged() {
        assertSame(HELD.newer(new Routes(60, 7, HELD.routes(), HELD.zonesOut())), HELD);
    }

    @Test
    public void shouldReplaceRoutesWhenZoneReturnsUnderSameConfigVersion() {
        Routes back = new Routes(60, 7, HELD.routes(), Set.of());

        assertSame(HELD.newer(back), back);
    }

    private static Route route(String name, String prefix) {
        return new Route(name, "h.example", prefix, "s", 0, 3, 1.6, 60, 1_500);
    }
}
