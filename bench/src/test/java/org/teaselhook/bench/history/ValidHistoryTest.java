package org.teaselhook.bench.history;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.teaselhook.bench.history.AnswerKind.CLOSED;
import static org.teaselhook.bench.history.AnswerKind.MAY_HAVE_RUN;
import static org.teaselhook.bench.history.AnswerKind.NOT_RUN;
import static org.teaselhook.bench.history.AnswerKind.NOT_SENT;
import static org.teaselhook.bench.history.AnswerKind.TIMED_OUT;
import static org.teaselhook.bench.history.HistoryBuilder.history;
import static org.testng.Assert.assertEquals;

/** Histories without violations. */
public class ValidHistoryTest {

    private static final HistoryChecker CHECKER = HistoryChecker.of(HistoryLimits.standard());

    // -- check

    @DataProvider
    public Object[][] validCalls() {
        return new Object[][] {
            {"empty", history()},
            {"job complete", history().job("k", 2).start("k/1").start("k/0").complete(1, "k/0\nx", "k/1\ny")},
            {"job refused", history().job("k", 2).answer(1, NOT_RUN)},
            {"job failed in part", history().job("k", 2).start("k/0").answer(1, MAY_HAVE_RUN)},
            {
                "late start after may-have-run",
                history().booking("k").answer(1, MAY_HAVE_RUN).start("k/0")
            },
            {
                "resubmission joins first call",
                history()
                        .booking("k")
                        .start("k/0")
                        .booking("k")
                        .complete(2, "k/0\nx")
                        .complete(1, "k/0\nx")
            },
            {
                "refused, then completed",
                history()
                        .booking("k")
                        .answer(1, NOT_RUN)
                        .booking("k")
                        .start("k/0")
                        .complete(2, "k/0\nx")
            },
            {
                "one of two calls refused",
                history().booking("k").booking("k").start("k/0").answer(1, NOT_RUN)
            },
            {
                "idempotent retried",
                history().check("k").start("k/0").start("k/0").complete(1, "k/0\nx")
            },
            {
                "idempotent answered twice",
                history()
                        .check("k")
                        .start("k/0")
                        .complete(1, "k/0\nx")
                        .check("k")
                        .start("k/0")
                        .complete(2, "k/0\ny")
            },
        };
    }

    @DataProvider
    public Object[][] validChanges() {
        return new Object[][] {
            {"start just after removal", history().check("k").out("thrissur", 2).start("k/0")},
            {
                "start in another zone",
                history().check("k").out("thrissur", 2).pause(3).start("k/0", "kottayam")
            },
            {
                "start after return",
                history()
                        .check("k")
                        .out("thrissur", 2)
                        .in("thrissur", 3)
                        .pause(3)
                        .start("k/0")
            },
            {
                "return without answer sent before the removal",
                history()
                        .check("k")
                        .unanswered("thrissur", false)
                        .out("thrissur", 2)
                        .pause(3)
                        .start("k/0")
            },
            {
                "removal without answer",
                history().check("k").unanswered("thrissur", true).pause(3).start("k/0")
            },
            {"start just after leaving", history().check("k").left("thrissur").start("k/0")},
            {
                "target registered again",
                history()
                        .check("k")
                        .left("thrissur")
                        .joined("thrissur")
                        .pause(3)
                        .start("k/0")
            },
            {
                "versions increase",
                history().version("e", 1).version("f", 3).version("e", 1).version("e", 2)
            },
            {"change kept", history().kept(1, "op-1").out("thrissur", 2).kept(2, "op-2")},
            {"change older than the history", history().out("thrissur", 2).kept(5, "op-5")},
        };
    }

    @DataProvider
    public Object[][] validStops() {
        return new Object[][] {
            {
                "stop after the answer",
                history().booking("k").answer(1, NOT_RUN).stopping("entry-1").stopped("entry-1")
            },
            {
                "refused connection to a stopped entry",
                history().stopping("entry-1").booking("k").stopped("entry-1").answer(1, NOT_SENT)
            },
            {"killed while stopping", history().booking("k").stopping("entry-1").answer(1, CLOSED)},
            {
                "caller timed out during a stop",
                history().booking("k").stopping("entry-1").answer(1, TIMED_OUT).stopped("entry-1")
            },
            {
                "answered task interrupted while its agent stopped",
                history()
                        .booking("k")
                        .start("k/0")
                        .answer(1, MAY_HAVE_RUN)
                        .stopping("agent-1")
                        .interrupted("k/0")
                        .stopped("agent-1")
            },
            {
                "task interrupted at its deadline while its agent stopped",
                history()
                        .booking("k")
                        .start("k/0")
                        .pause(9)
                        .stopping("agent-1")
                        .interrupted("k/0")
                        .stopped("agent-1")
            },
            {
                "task interrupted at its deadline before resubmission of its key",
                history()
                        .booking("k")
                        .start("k/0")
                        .pause(9)
                        .stopping("agent-1")
                        .interrupted("k/0")
                        .booking("k")
                        .stopped("agent-1")
            },
            {"task interrupted by a kill", history().booking("k").start("k/0").interrupted("k/0")},
        };
    }

    @Test(dataProvider = "validCalls")
    public void shouldAcceptCalls(String name, HistoryBuilder history) {
        assertEquals(CHECKER.check(history.build()), List.of(), name);
    }

    @Test(dataProvider = "validStops")
    public void shouldAcceptStops(String name, HistoryBuilder history) {
        assertEquals(CHECKER.check(history.build()), List.of(), name);
    }

    @Test(dataProvider = "validChanges")
    public void shouldAcceptChanges(String name, HistoryBuilder history) {
        assertEquals(CHECKER.check(history.build()), List.of(), name);
    }
}
