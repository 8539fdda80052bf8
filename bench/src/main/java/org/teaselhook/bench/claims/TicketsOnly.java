package org.teaselhook.bench.claims;

import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;

import org.teaselhook.core.claim.TicketLimits;
import org.teaselhook.core.claim.TicketResult;
import org.teaselhook.core.claim.Tickets;
import org.teaselhook.core.id.Incarnation;

/**
 * Clients that fetch tickets ahead in batches and present each to its issuer.
 */
final class TicketsOnly implements Claimer {

    private static final int BATCH = 100;

    private final List<Tickets> live;
    private final Queue<Fetched> ahead = new ArrayDeque<>();
    private int nextIssuer;

    TicketsOnly() {
        SecureRandom random = new SecureRandom();
        this.live = new ArrayList<>(IntStream.range(0, ENTRIES)
                .mapToObj(i -> Tickets.of(Incarnation.random(random), random, TicketLimits.standard()))
                .toList());
    }

    private record Fetched(Tickets issuer, String ticket) {}

    @Override
    public CompletionStage<Boolean> claim(String key, long nowNanos) {
        if (ahead.isEmpty()) {
            fetch();
        }
        Fetched fetched = ahead.remove();
        boolean admitted = live.contains(fetched.issuer())
                && fetched.issuer().admit(fetched.ticket(), key.hashCode(), System.currentTimeMillis())
                        instanceof TicketResult.Admitted;
        return CompletableFuture.completedFuture(admitted);
    }

    private void fetch() {
        Tickets issuer = live.get(nextIssuer++ % live.size());
        issuer.issue(BATCH, System.currentTimeMillis()).forEach(ticket -> ahead.add(new Fetched(issuer, ticket)));
    }

    @Override
    public void killFirst() {
        live.remove(0);
    }

    @Override
    public void close() {
        ahead.clear();
    }
}
