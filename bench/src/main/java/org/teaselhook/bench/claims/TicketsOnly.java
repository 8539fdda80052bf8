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
 * Clients that prefetch tickets in batches and present each ticket to its issuer.
 */
final class TicketsOnly implements Claimer {

    private static final int BATCH_SIZE = 100;

    private final List<Tickets> runningIssuers;
    private final Queue<PrefetchedTicket> prefetched = new ArrayDeque<>();
    private int nextIssuer;

    TicketsOnly() {
        SecureRandom random = new SecureRandom();
        this.runningIssuers = new ArrayList<>(IntStream.range(0, ENTRIES)
                .mapToObj(i -> Tickets.of(Incarnation.random(random), random, TicketLimits.standard()))
                .toList());
    }

    private record PrefetchedTicket(Tickets issuer, String ticket) {}

    @Override
    public CompletionStage<Boolean> claim(String key, long nowNanos) {
        if (prefetched.isEmpty()) {
            prefetch();
        }
        PrefetchedTicket next = prefetched.remove();
        boolean admitted = runningIssuers.contains(next.issuer())
                && next.issuer().admit(next.ticket(), key.hashCode(), System.currentTimeMillis())
                        instanceof TicketResult.Admitted;
        return CompletableFuture.completedFuture(admitted);
    }

    private void prefetch() {
        Tickets issuer = runningIssuers.get(nextIssuer++ % runningIssuers.size());
        issuer.issue(BATCH_SIZE, System.currentTimeMillis())
                .forEach(ticket -> prefetched.add(new PrefetchedTicket(issuer, ticket)));
    }

    @Override
    public void killFirstEntry() {
        runningIssuers.remove(0);
    }

    @Override
    public void close() {
        prefetched.clear();
    }
}
