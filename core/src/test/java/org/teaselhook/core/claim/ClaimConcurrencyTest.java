package org.teaselhook.core.claim;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ClaimConcurrencyTest {

    private static final int ITERATIONS = 6;
    private static final int INVOCATIONS = 150;

    @DataProvider
    public Object[][] subjects() {
        return new Object[][] {{TicketAdmission.class}, {AnswerCaching.class}};
    }

    // -- linearizability

    @Test(dataProvider = "subjects")
    public void shouldBeLinearizableUnderModelChecking(Class<?> subject) {
        new ModelCheckingOptions()
                .iterations(ITERATIONS)
                .invocationsPerIteration(INVOCATIONS)
                .threads(3)
                .actorsPerThread(2)
                .check(subject);
    }

    @Test(dataProvider = "subjects")
    public void shouldBeLinearizableUnderStress(Class<?> subject) {
        new StressOptions()
                .iterations(ITERATIONS)
                .invocationsPerIteration(INVOCATIONS)
                .threads(3)
                .actorsPerThread(2)
                .check(subject);
    }

    // -- subjects

    @Param(name = "ticket", gen = IntGen.class, conf = "0:1")
    @Param(name = "digest", gen = IntGen.class, conf = "1:2")
    public static class TicketAdmission {

        private static final long NOW_MILLIS = 1_000_000;

        private final AdmittedTickets admitted = new AdmittedTickets(new TicketLimits(1_000, 1_000, 1));

        @Operation
        public String admit(@Param(name = "ticket") int ticket, @Param(name = "digest") int digest) {
            return admitted.admit(ticketOf(ticket), digest, NOW_MILLIS)
                    .getClass()
                    .getSimpleName();
        }

        @Operation
        public void abandon(@Param(name = "ticket") int ticket) {
            admitted.remove(ticketOf(ticket));
        }

        private static Ticket ticketOf(int nonce) {
            return new Ticket(Incarnation.of(1), NOW_MILLIS + 1, nonce, "");
        }
    }

    @Param(name = "key", gen = IntGen.class, conf = "0:2")
    @Param(name = "value", gen = IntGen.class, conf = "1:3")
    public static class AnswerCaching {

        private final AnswerCache<Integer> cache = AnswerCache.of(300, 1_000);

        @Operation
        public void put(@Param(name = "key") int key, @Param(name = "value") int value) {
            cache.put("key-" + key, value, 10, 0);
        }

        @Operation
        public int find(@Param(name = "key") int key) {
            return cache.find("key-" + key, 0).orElse(0);
        }

        @Operation
        public long bytes() {
            return cache.bytes();
        }
    }
}
