package org.teaselhook.bench.process;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class FreePortsTest {

    // -- draw

    @Test
    public void shouldDrawPortsBelowEphemeralRange() {
        List<InetSocketAddress> drawn = FreePorts.draw(50);

        assertEquals(drawn.size(), 50);
        assertTrue(drawn.stream()
                .mapToInt(InetSocketAddress::getPort)
                .allMatch(port -> port >= FreePorts.FIRST_PORT && port <= FreePorts.LAST_PORT));
    }

    @Test
    public void shouldNotDrawPortTwice() {
        List<InetSocketAddress> drawn = new ArrayList<>(FreePorts.draw(50));
        drawn.addAll(FreePorts.draw(50));

        assertEquals(new HashSet<>(drawn).size(), 100);
    }
}
