package org.teaselhook.core.claim;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.InMemoryTable;
import org.testng.annotations.BeforeMethod;

/** Two ledgers that share one table. */
abstract class LedgerFixture {

    static final Incarnation FIRST = Incarnation.of(1);
    static final Incarnation SECOND = Incarnation.of(2);
    static final String KEY = LedgerHarness.key(0);
    static final String OTHER_KEY = LedgerHarness.key(1);
    static final long DIGEST = 7;
    static final LogKeys LOG = LogKeys.of(0);

    InMemoryTable table;
    LedgerHarness first;
    LedgerHarness second;

    @BeforeMethod
    public void createLedgers() {
        table = InMemoryTable.empty();
        first = new LedgerHarness(FIRST, table);
        second = new LedgerHarness(SECOND, table);
    }
}
