package org.teaselhook.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class RouteIndexTest {

    private static final RouteIndex INDEX = RouteIndex.of(List.of(route("wide", "/a/"), route("narrow", "/a/b/")));

    @DataProvider
    public Object[][] paths() {
        return new Object[][] {
            {"h.example", "/a/x", "wide"},
            {"h.example", "/a/b/x", "narrow"},
            {"H.EXAMPLE", "/a/x", "wide"},
            {"h.example", "/c", "none"},
            {"other.example", "/a/x", "none"},
        };
    }

    @Test(dataProvider = "paths")
    public void shouldFindRouteWithLongestPrefix(String host, String path, String expected) {
        assertEquals(INDEX.find(host, path).map(Route::name).orElse("none"), expected);
    }

    /** A configuration that has grown by 1,400 routes: the index finds the same routes as a linear search. */
    @Test
    public void shouldFindSameRouteAsLinearSearch() {
        Random random = new Random(5);
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 1_400; i++) {
            routes.add(route("r" + i, "/" + random.nextInt(500) + "/" + random.nextInt(20) + "/"));
        }
        RouteIndex index = RouteIndex.of(routes);
        for (int i = 0; i < 5_000; i++) {
            String path = "/" + random.nextInt(600) + "/" + random.nextInt(30) + "/id";
            Optional<Route> expected = routes.stream()
                    .filter(route -> path.startsWith(route.pathPrefix()))
                    .findFirst();
            assertEquals(index.find("h.example", path), expected, path);
        }
    }

    private static Route route(String name, String prefix) {
        return new Route(name, "h.example", prefix, "s", 0, 3, 1.6, 60, 1_500);
    }
}
