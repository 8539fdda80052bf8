package org.teaselhook.bench.config;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.teaselhook.bench.process.ChangeResult;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Operators;
import org.teaselhook.bench.process.Site;
import org.teaselhook.net.http.HttpReply;

/**
 * Makes one change after another through entries drawn at random, trying again under the same operation id while it is
 * not told what became of a change.
 */
final class RacingOperator implements Runnable {

    private static final int MAX_TRIES = 8;
    private static final int MAX_PAUSE_MILLIS = 400;
    private static final String CONFLICT = "version-conflict";

    private final String name;
    private final Site site;
    private final RaceLedger ledger;
    private final Random random;
    private final long endNanos;

    RacingOperator(String name, Site site, RaceLedger ledger, long seed, long endNanos) {
        this.name = name;
        this.site = site;
        this.ledger = ledger;
        this.random = new Random(seed);
        this.endNanos = endNanos;
    }

    @Override
    public void run() {
        for (int i = 0; endNanos - System.nanoTime() > 0; i++) {
            pause();
            String operation = "race-" + name + "-" + i;
            if (random.nextBoolean()) {
                takeOut(operation);
            } else {
                replace(operation);
            }
        }
    }

    /** Keeps the changes of a minute within the versions that the history keeps. */
    private void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void takeOut(String operation) {
        settle(operation, () -> entry().changeZone(operation, true, operation));
    }

    private void replace(String operation) {
        Optional<HttpReply> base = entry().rules().filter(RacingOperator::isCurrent);
        base.ifPresent(reply -> {
            String expected = reply.header("teaselhook-version").orElse("0");
            String text = RacedFile.edited(reply.text(), name, operation, random);
            ledger.replacing(operation, Long.parseLong(expected), text);
            settle(operation, () -> entry().replaceRules(expected, text, operation));
        });
    }

    private static boolean isCurrent(HttpReply reply) {
        return reply.header("teaselhook-source").orElse("").equals("table-service");
    }

    private interface Try {
        ChangeResult send();
    }

    private void settle(String operation, Try change) {
        for (int i = 0; i < MAX_TRIES; i++) {
            ChangeResult result = change.send();
            if (result.version().isPresent()) {
                ledger.accepted(operation, result.version().getAsLong());
                return;
            }
            if (result.detail().contains(CONFLICT)) {
                ledger.refused(operation);
                return;
            }
        }
        ledger.unsettled(operation);
    }

    private Operators entry() {
        List<EntryNode> entries = site.entries();
        return Operators.of(
                site.client(), entries.get(random.nextInt(entries.size())).http());
    }
}
