package org.teaselhook.core.health;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public final class WorkerHealthTest {

    private static final long SECOND = 1_000_000_000L;
    private static final int SLOTS = 8;

    private final PeerGroup unused = PeerGroup.empty();

    private static List<WorkerHealth> workers(PeerGroup peers, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> WorkerHealth.join(peers, SLOTS))
                .toList();
    }

    private static void observe(WorkerHealth health, int times, boolean success, double ratio) {
        for (int i = 0; i < times; i++) {
            if (success) {
                health.recordSuccess(0, ratio);
            } else {
                health.recordFailure(0);
            }
        }
    }

    // -- ejection

    @DataProvider
    public Object[][] behaviours() {
        return new Object[][] {
            {"fails always", false, 1.0, 4, HealthState.EJECTED},
            {"ten times slower", true, 10.0, 4, HealthState.EJECTED},
            {"twice as slow", true, 2.0, 200, HealthState.NORMAL},
            {"as fast as its peers", true, 1.0, 200, HealthState.NORMAL},
            {"faster", true, 0.1, 200, HealthState.NORMAL},
            {"failed three times", false, 1.0, 3, HealthState.NORMAL},
        };
    }

    @Test(dataProvider = "behaviours")
    public void shouldEjectOnlyOutliers(String name, boolean success, double ratio, int times, HealthState expected) {
        PeerGroup peers = PeerGroup.empty();
        List<WorkerHealth> workers = workers(peers, 11);
        workers.subList(1, 11).forEach(worker -> observe(worker, 50, true, 1));
        observe(workers.get(0), times, success, ratio);
        assertEquals(workers.get(0).state(), expected, name);
        assertEquals(workers.get(0).accepts(0), expected == HealthState.NORMAL);
    }

    @Test
    public void shouldKeepMostWorkersWhenAllFailAlike() {
        List<WorkerHealth> workers = workers(PeerGroup.empty(), 11);
        for (int i = 0; i < 100; i++) {
            workers.forEach(worker -> observe(worker, 1, false, 1));
        }
        assertTrue(
                workers.stream().filter(w -> w.state() == HealthState.EJECTED).count() <= 3);
    }

    @DataProvider
    public Object[][] bounds() {
        return new Object[][] {{1, 0}, {2, 1}, {3, 1}, {11, 3}, {30, 10}};
    }

    @Test(dataProvider = "bounds")
    public void shouldNotEjectMoreThanAThird(int size, int limit) {
        PeerGroup peers = PeerGroup.empty();
        List<WorkerHealth> workers = workers(peers, size);
        workers.forEach(worker -> observe(worker, 20, false, 1));
        assertEquals(peers.ejected(), limit);
    }

    // -- probes

    @Test
    public void shouldReadmitStepByStepAfterSuccessfulProbes() {
        List<WorkerHealth> workers = workers(PeerGroup.empty(), 11);
        WorkerHealth worker = workers.get(0);
        observe(worker, 4, false, 1);
        assertFalse(worker.isProbeDue(SECOND / 4));
        assertTrue(worker.isProbeDue(SECOND));
        worker.recordProbeSent(SECOND);
        assertFalse(worker.isProbeDue(SECOND));
        observe(worker, 2, true, 1);
        assertEquals(worker.state(), HealthState.RAMPING);
        assertTrue(worker.accepts(1) && !worker.accepts(2));
        observe(worker, 6, true, 1);
        assertEquals(worker.state(), HealthState.NORMAL);
        assertTrue(worker.accepts(SLOTS - 1) && !worker.accepts(SLOTS));
    }

    @Test
    public void shouldProbeLessOftenAfterFailedProbes() {
        WorkerHealth worker = workers(PeerGroup.empty(), 11).get(0);
        observe(worker, 4, false, 1);
        worker.recordFailure(SECOND);
        assertFalse(worker.isProbeDue(SECOND + SECOND / 2));
        assertTrue(worker.isProbeDue(2 * SECOND));
        assertEquals(worker.state(), HealthState.EJECTED);
    }

    // -- leave

    @Test
    public void shouldIgnoreObservationsOfWorkerThatLeft() {
        PeerGroup peers = PeerGroup.empty();
        List<WorkerHealth> workers = workers(peers, 2);
        workers.get(0).leave();
        observe(workers.get(0), 20, false, 1);
        assertEquals(peers.size(), 1);
        assertEquals(peers.ejected(), 0);
        assertEquals(peers.meanFailureRateWithout(0), 0.0);
        assertEquals(unused.size(), 0);
    }
}
