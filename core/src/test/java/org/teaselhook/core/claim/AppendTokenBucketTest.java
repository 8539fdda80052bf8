package org.teaselhook.core.claim;

import java.util.concurrent.TimeUnit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class AppendTokenBucketTest {

    @DataProvider
    public Object[][] rates() {
        return new Object[][] {{0}, {20}, {80}};
    }

    // -- hasToken

    @Test(dataProvider = "rates")
    public void shouldNotExceedRate(int appendsPerSecond) {
        AppendTokenBucket tokenBucket = new AppendTokenBucket(appendsPerSecond, 0);
        int appends = 0;
        for (long millis = 1; millis <= 10_000; millis++) {
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(millis);
            if (tokenBucket.hasToken(nowNanos)) {
                tokenBucket.takeToken(nowNanos);
                appends++;
            }
        }
        assertEquals(appends, 10.0 * appendsPerSecond, 1.0);
    }
}
