package org.teaselhook.bench.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.standin.target.TaskListener;
import org.teaselhook.standin.target.TaskStart;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Stops agents and deregisters targets while callers send more than the remaining agents have slots for. */
public class LeavingTest implements TaskListener {

    private static final int CALLERS = 24;
    private static final long CALLER_TIMEOUT_MILLIS = 10_000;
    /** A hedged attempt sent just before the first answer arrived may start after the caller has been answered. */
    private static final long HEDGE_ARRIVAL_MILLIS = 500;

    private static final long LEAVING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Queue<TaskStart> starts = new ConcurrentLinkedQueue<>();
    private final AtomicInteger ends = new AtomicInteger();
    private final Queue<TaskStart> abandonedTasks = new ConcurrentLinkedQueue<>();
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicBoolean sending = new AtomicBoolean();
    private final AtomicInteger waiting = new AtomicInteger();
    private Site site;

    @BeforeMethod
    public void start() throws IOException, InterruptedException {
        starts.clear();
        abandonedTasks.clear();
        failures.clear();
        ends.set(0);
        answers.set(0);
        Path directory = Files.createTempDirectory("leaving-test");
        site = Site.start(SitePlan.standard().withProcesses(2, 3).withSlots(4).withoutRelays(), this, directory);
        site.awaitReady(Duration.ofSeconds(60));
        awaitRules();
        sending.set(true);
        for (int caller = 0; caller < CALLERS; caller++) {
            send(caller, 0);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        sending.set(false);
        if (site != null) {
            site.close();
        }
    }

    // -- tests

    @Test
    public void shouldCutNothingWhenAgentsStopGracefullyUnderLoad() throws InterruptedException {
        for (int index = 0; index < 2; index++) {
            awaitAnswers(150);
            AgentNode agent = site.agents().get(index);
            agent.process().terminate();
            assertTrue(agent.process().awaitExit(Duration.ofSeconds(20)), "the agent did not exit");
            long exited = System.nanoTime();
            awaitAnswers(100);
            assertEquals(startsAfter(agent.target().name(), exited), 0, "starts after the exit");
        }
        finish();
    }

    @Test
    public void shouldSendNothingToTargetAfterItLeft() throws InterruptedException {
        awaitAnswers(150);
        AgentNode agent = site.agents().get(0);
        agent.target().leave().toCompletableFuture().join();
        long left = System.nanoTime();
        Thread.sleep(TimeUnit.NANOSECONDS.toMillis(LEAVING_NANOS) + 1_000);

        assertEquals(startsAfter(agent.target().name(), left + LEAVING_NANOS), 0, "starts 3 s after leaving");
        awaitAnswers(100);
        finish();
    }

    private void finish() throws InterruptedException {
        sending.set(false);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALLER_TIMEOUT_MILLIS);
        while (waiting.get() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        Thread.sleep(HEDGE_ARRIVAL_MILLIS);
        while (ends.get() < starts.size() && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        assertEquals(failures.toString(), "[]");
        assertEquals(abandonedTasks.size(), 0, "connections closed by the agent while a task ran");
        assertEquals(waiting.get(), 0, "callers without an answer");
        assertEquals(ends.get(), starts.size());
        assertFalse(starts.isEmpty());
    }

    /** Waits until both entries have the rules, then discards the recorded probe requests. */
    private void awaitRules() throws InterruptedException {
        for (int entry = 0; entry < 2; entry++) {
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (!isAnswered(entry)) {
                assertTrue(System.nanoTime() < deadline, "timed out waiting for the rules at entry " + entry);
                Thread.sleep(50);
            }
        }
        starts.clear();
        ends.set(0);
    }

    private boolean isAnswered(int entry) {
        HttpResult result = request(entry, SitePlan.IDEMPOTENT_KIND, "probe")
                .toCompletableFuture()
                .join();
        return result instanceof HttpResult.Replied replied && replied.reply().status() == 200;
    }

    private void awaitAnswers(int count) throws InterruptedException {
        int goal = answers.get() + count;
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (answers.get() < goal) {
            assertTrue(System.nanoTime() < deadline, "too few answers; failures: " + failures);
            Thread.sleep(10);
        }
    }

    private long startsAfter(String target, long nanos) {
        return starts.stream()
                .filter(start -> start.target().equals(target) && start.monotonicNanos() - nanos > 0)
                .count();
    }

    // -- callers

    private void send(int caller, int sequence) {
        if (!sending.get()) {
            return;
        }
        waiting.incrementAndGet();
        String kind = sequence % 2 == 0 ? SitePlan.IDEMPOTENT_KIND : SitePlan.NON_IDEMPOTENT_KIND;
        request(caller % 2, kind, caller + "/" + sequence).thenAccept(result -> answered(caller, sequence, result));
    }

    private CompletionStage<HttpResult> request(int entry, String kind, String body) {
        String path = "/v1/services/" + SitePlan.SERVICE + "/" + kind;
        HttpCall call = HttpCall.of("POST", path, Map.of(), body.getBytes(StandardCharsets.UTF_8));
        return site.client().send(site.entries().get(entry).http(), call, CALLER_TIMEOUT_MILLIS);
    }

    private void answered(int caller, int sequence, HttpResult result) {
        waiting.decrementAndGet();
        if (result instanceof HttpResult.Replied replied
                && replied.reply().status() == 200
                && replied.reply().text().startsWith(caller + "/" + sequence + "\n")) {
            answers.incrementAndGet();
        } else {
            failures.add(caller + "/" + sequence + ": " + describe(result));
        }
        send(caller, sequence + 1);
    }

    private static String describe(HttpResult result) {
        return result instanceof HttpResult.Replied replied ? replied.reply().text() : result.toString();
    }

    // -- targets

    @Override
    public void started(TaskStart start) {
        starts.add(start);
    }

    @Override
    public void ended(TaskStart start, int status, long wallMillis) {
        ends.incrementAndGet();
    }

    @Override
    public void abandoned(TaskStart start, long wallMillis) {
        abandonedTasks.add(start);
    }
}
