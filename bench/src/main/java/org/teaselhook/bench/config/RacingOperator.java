package org.teaselhook.bench.config;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.teaselhook.bench.process.AdminClient;
import org.teaselhook.bench.process.ChangeResult;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.net.http.HttpReply;

/**
 * Makes one change after another through randomly chosen entries, and retries a change under the same operation id
 * while its outcome is unknown.
 */
final class RacingOperator implements Runnable {

    private static final int MAX_ATTEMPTS = 8;
    private static final int MAX_PAUSE_MILLIS = 400;
    private static final String CONFLICT = "version-conflict";

    private final String name;
    private final Site site;
    private final RaceHistoryChecker checker;
    private final Random random;
    private final long endNanos;

    RacingOperator(String name, Site site, RaceHistoryChecker checker, long seed, long endNanos) {
        this.name = name;
        this.site = site;
        this.checker = checker;
        this.random = new Random(seed);
        this.endNanos = endNanos;
    }

    @Override
    public void run() {
        for (int i = 0; endNanos - System.nanoTime() > 0; i++) {
            pause();
            String operation = "race-" + name + "-" + i;
            if (random.nextBoolean()) {
                takeZoneOut(operation);
            } else {
                replaceRulesFile(operation);
            }
        }
    }

    /** Pauses at random, so that the changes of one minute do not exceed the number of versions in the history. */
    private void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void takeZoneOut(String operation) {
        sendUntilSettled(operation, () -> randomEntry().changeZone(operation, true, operation));
    }

    private void replaceRulesFile(String operation) {
        Optional<HttpReply> base = randomEntry().rules().filter(RacingOperator::isCurrent);
        base.ifPresent(reply -> {
            String expectedVersion = reply.header("teaselhook-version").orElse("0");
            String text = RandomRulesEdit.edit(reply.text(), name, operation, random);
            checker.recordReplacement(operation, Long.parseLong(expectedVersion), text);
            sendUntilSettled(operation, () -> randomEntry().replaceRules(expectedVersion, text, operation));
        });
    }

    private static boolean isCurrent(HttpReply reply) {
        return reply.header("teaselhook-source").orElse("").equals("table-service");
    }

    private interface ChangeRequest {
        ChangeResult send();
    }

    private void sendUntilSettled(String operation, ChangeRequest request) {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            ChangeResult result = request.send();
            if (result.version().isPresent()) {
                checker.recordAccepted(operation, result.version().getAsLong());
                return;
            }
            if (result.detail().contains(CONFLICT)) {
                checker.recordRefused(operation);
                return;
            }
        }
        checker.recordUnsettled(operation);
    }

    private AdminClient randomEntry() {
        List<EntryNode> entries = site.entries();
        return AdminClient.of(
                site.client(), entries.get(random.nextInt(entries.size())).http());
    }
}
