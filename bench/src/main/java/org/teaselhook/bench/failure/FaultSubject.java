package org.teaselhook.bench.failure;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The type of component that a fault affects. */
enum FaultSubject {
    /** One entry's process. */
    ENTRY {
        @Override
        List<String> draw(SiteSize size, RandomGenerator random) {
            return List.of("entry-" + (1 + random.nextInt(size.entries())));
        }
    },
    /** One agent's process. */
    AGENT {
        @Override
        List<String> draw(SiteSize size, RandomGenerator random) {
            return List.of("agent-" + (1 + random.nextInt(size.agents())));
        }
    },
    /** Every process of one availability zone. */
    ZONE {
        @Override
        List<String> draw(SiteSize size, RandomGenerator random) {
            int zone = random.nextInt(size.zones());
            return Stream.concat(
                            size.inZone(zone, size.entries()).map(i -> "entry-" + (i + 1)),
                            size.inZone(zone, size.agents()).map(i -> "agent-" + (i + 1)))
                    .toList();
        }
    },
    /** One target. */
    TARGET {
        @Override
        List<String> draw(SiteSize size, RandomGenerator random) {
            return List.of("target-" + (1 + random.nextInt(size.agents())));
        }
    },
    /** The connections from one agent to one entry. */
    AGENT_LINK {
        @Override
        List<String> draw(SiteSize size, RandomGenerator random) {
            String agent = "agent-" + (1 + random.nextInt(size.agents()));
            String entry = "entry-" + (1 + random.nextInt(size.entries()));
            return List.of(agent + ">" + entry);
        }
    },
    /** The connections from one entry to another. */
    PEER_LINK {
        @Override
        List<String> draw(SiteSize size, RandomGenerator random) {
            int from = random.nextInt(size.entries());
            int to = (from + 1 + random.nextInt(size.entries() - 1)) % size.entries();
            return List.of("entry-" + (from + 1) + ">entry-" + (to + 1));
        }
    },
    /** The table service. */
    TABLE {
        @Override
        List<String> draw(SiteSize size, RandomGenerator random) {
            return List.of("table");
        }
    };

    /** Draws the names of the affected components; a link is named {@code CLIENT>SERVER}. */
    abstract List<String> draw(SiteSize size, RandomGenerator random);

    /**
     * The size of a site.
     *
     * @param entries the number of entries
     * @param agents the number of agents
     * @param zones the number of availability zones
     */
    record SiteSize(int entries, int agents, int zones) {

        Stream<Integer> inZone(int zone, int count) {
            return IntStream.range(0, count).filter(i -> i % zones == zone).boxed();
        }
    }
}
