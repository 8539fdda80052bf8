package org.teaselhook.core.admission;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.Test;

/** Checks that {@link Admission} is linearizable. */
@Param(name = "number", gen = IntGen.class, conf = "1:3")
public class AdmissionConcurrencyTest {

    private static final Incarnation AGENT = Incarnation.of(1);
    private static final Incarnation ENTRY = Incarnation.of(2);
    private static final StartConditions READY = new StartConditions(1, false, false, true, 8);
    private static final StartConditions ZONE_OUT = new StartConditions(2, true, false, true, 8);

    private final Admission admission = Admission.of(AGENT);

    // -- operations

    @Operation
    public String decide(@Param(name = "number") int number) {
        return admission.decide(request(number), READY, 0).toString();
    }

    @Operation
    public String decideWhileZoneIsOut(@Param(name = "number") int number) {
        return admission.decide(request(number), ZONE_OUT, 0).toString();
    }

    @Operation
    public String settle(@Param(name = "number") int number) {
        return admission.resolve(ENTRY, number).toString();
    }

    @Operation
    public boolean cancel(@Param(name = "number") int number) {
        return admission.cancel(ENTRY, number);
    }

    @Operation
    public void retire() {
        admission.retire(ENTRY);
    }

    // -- tests

    @Test
    public void shouldBeLinearizableUnderStress() {
        new StressOptions()
                .iterations(8)
                .invocationsPerIteration(400)
                .threads(3)
                .actorsPerThread(2)
                .check(AdmissionConcurrencyTest.class);
    }

    @Test
    public void shouldBeLinearizableInModelChecking() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(150)
                .threads(2)
                .actorsPerThread(2)
                .check(AdmissionConcurrencyTest.class);
    }

    private static StartRequest request(int number) {
        return new StartRequest(ENTRY, number, AGENT, 0, 1, 1);
    }
}
