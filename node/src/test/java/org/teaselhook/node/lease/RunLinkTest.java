package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import org.teaselhook.net.http.EventLoops;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.frame.FrameDialer;
import org.teaselhook.node.frame.FrameProtocol;
import org.teaselhook.node.frame.IgnoringListener;
import org.teaselhook.node.frame.Outbox;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunOrder;
import org.teaselhook.wire.RunReport;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

public class RunLinkTest {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long START = TimeUnit.SECONDS.toNanos(100);
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    private final EventLoops loops = EventLoops.of(1);
    private final ControlLoop control = ControlLoop.start("test", System::nanoTime, failure -> {});

    @AfterClass
    public void closeLoops() {
        loops.close();
        control.close();
    }

    @DataProvider
    public Object[][] echoTimeouts() {
        return new Object[][] {
            // echo after ms, checked after ms, timed out
            {-1, 900, false},
            {-1, 1_001, true},
            {50, 400, false},
            {50, 401, true},
        };
    }

    /** On a starting or slow machine, the first heartbeat echo of a stream takes longer than the following ones. */
    @Test(dataProvider = "echoTimeouts")
    public void shouldAllowFirstEchoMoreTimeThanFollowingOnes(long echoedMillis, long nowMillis, boolean expected) {
        RunLink link = new RunLink(ADDRESS, START);
        link.dialed(stream(), START);
        if (echoedMillis >= 0) {
            link.recordEcho(START + echoedMillis * MILLI, 1, false);
        }

        assertEquals(link.hasTimedOut(START + nowMillis * MILLI), expected);
    }

    @Test
    public void shouldExpireAddressThatIsNoLongerAdvertised() {
        RunLink link = new RunLink(ADDRESS, START);
        long later = START + TimeUnit.SECONDS.toNanos(61);
        assertFalse(link.isExpired(START));
        assertTrue(link.isExpired(later));

        link.recordAdvertised(later);
        assertFalse(link.isExpired(later + MILLI));
    }

    /** Consecutive orders of one job carry its spec only once, as it may have 4,000 bytes. */
    @Test
    public void shouldUseSpecOfPreviousOrderWhenItIsTheSame() {
        RunLink link = new RunLink(ADDRESS, START);
        RunOrder sameSpec = RunOrder.newBuilder().setSameSpec(true).build();
        assertThrows(IllegalArgumentException.class, () -> link.specOf(sameSpec));

        assertEquals(link.specOf(RunOrder.newBuilder().setSpec("one").build()), "one");
        assertEquals(link.specOf(sameSpec), "one");
        assertEquals(link.specOf(RunOrder.newBuilder().setSpec("").build()), "");
        assertEquals(link.specOf(sameSpec), "");
    }

    @Test
    public void shouldNotUseSpecOfPreviousConnection() {
        RunLink link = new RunLink(ADDRESS, START);
        link.specOf(RunOrder.newBuilder().setSpec("one").build());
        link.dialed(stream(), START);

        RunOrder sameSpec = RunOrder.newBuilder().setSameSpec(true).build();
        assertThrows(IllegalArgumentException.class, () -> link.specOf(sameSpec));
    }

    private FrameConnection<RunReport> stream() {
        FrameProtocol<RunCommand> protocol = new FrameProtocol<>(RunCommand.parser(), 1_000);
        return FrameDialer.<RunCommand, RunReport>of(loops, Outbox.of(control), protocol, 100)
                .dial(ADDRESS, new IgnoringListener<>());
    }
}
