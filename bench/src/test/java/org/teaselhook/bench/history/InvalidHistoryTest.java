package org.teaselhook.bench.history;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.teaselhook.bench.history.AnswerKind.CLOSED;
import static org.teaselhook.bench.history.AnswerKind.MAY_HAVE_RUN;
import static org.teaselhook.bench.history.AnswerKind.NOT_RUN;
import static org.teaselhook.bench.history.AnswerKind.NOT_SENT;
import static org.teaselhook.bench.history.AnswerKind.UNLABELLED;
import static org.teaselhook.bench.history.HistoryBuilder.history;
import static org.teaselhook.bench.history.ViolationKind.CHANGE_APPLIED_TWICE;
import static org.teaselhook.bench.history.ViolationKind.CHANGE_LOST;
import static org.teaselhook.bench.history.ViolationKind.COMPLETE_BUT_NOT_STARTED;
import static org.teaselhook.bench.history.ViolationKind.CUT_BY_STOP;
import static org.teaselhook.bench.history.ViolationKind.DIFFERENT_ANSWERS;
import static org.teaselhook.bench.history.ViolationKind.FOREIGN_ANSWER;
import static org.teaselhook.bench.history.ViolationKind.INVARIANT;
import static org.teaselhook.bench.history.ViolationKind.NOT_RUN_AFTER_START;
import static org.teaselhook.bench.history.ViolationKind.NOT_RUN_BUT_STARTED;
import static org.teaselhook.bench.history.ViolationKind.NO_OUTCOME;
import static org.teaselhook.bench.history.ViolationKind.PARTIAL_ANSWER;
import static org.teaselhook.bench.history.ViolationKind.STARTED_AT_LEAVING_TARGET;
import static org.teaselhook.bench.history.ViolationKind.STARTED_IN_ZONE_OUT;
import static org.teaselhook.bench.history.ViolationKind.STARTED_TWICE;
import static org.teaselhook.bench.history.ViolationKind.STARTED_UNASKED;
import static org.teaselhook.bench.history.ViolationKind.VERSION_FELL;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/** Histories with exactly one violation each. */
public class InvalidHistoryTest {

    private static final HistoryChecker CHECKER = HistoryChecker.of(HistoryLimits.standard());

    // -- check

    @DataProvider
    public Object[][] invalidStarts() {
        return new Object[][] {
            {STARTED_TWICE, history().job("k", 2).start("k/1").start("k/1").answer(1, MAY_HAVE_RUN)},
            {STARTED_TWICE, history().booking("k").start("k/0").booking("k").start("k/0")},
            {STARTED_UNASKED, history().start("k/0").booking("k")},
            {STARTED_UNASKED, history().start("other/0")},
            {NOT_RUN_BUT_STARTED, history().booking("k").start("k/0").answer(1, NOT_RUN)},
            {NOT_RUN_BUT_STARTED, history().booking("k").answer(1, NOT_RUN).start("k/0")},
            {NOT_RUN_BUT_STARTED, history().check("k").start("k/0").answer(1, NOT_RUN)},
            {NOT_RUN_BUT_STARTED, history().job("k", 3).start("k/2").answer(1, NOT_RUN)},
            {
                NOT_RUN_BUT_STARTED,
                history()
                        .booking("k")
                        .answer(1, NOT_RUN)
                        .start("k/0")
                        .booking("k")
                        .answer(2, MAY_HAVE_RUN)
            },
            {
                NOT_RUN_BUT_STARTED,
                history()
                        .booking("k")
                        .booking("k")
                        .answer(1, NOT_SENT)
                        .answer(2, NOT_RUN)
                        .start("k/0")
            },
            {
                NOT_RUN_AFTER_START,
                history()
                        .booking("k")
                        .start("k/0")
                        .answer(1, CLOSED)
                        .booking("k")
                        .answer(2, NOT_RUN)
            },
        };
    }

    @DataProvider
    public Object[][] invalidAnswers() {
        return new Object[][] {
            {NO_OUTCOME, history().booking("k").answer(1, UNLABELLED)},
            {PARTIAL_ANSWER, history().job("k", 2).start("k/0").start("k/1").complete(1, "k/0\nx")},
            {FOREIGN_ANSWER, history().job("k", 2).start("k/0").start("k/1").complete(1, "k/1\nx", "k/0\nx")},
            {FOREIGN_ANSWER, history().check("k").start("k/0").complete(1, "k/01\nx")},
            {
                DIFFERENT_ANSWERS,
                history()
                        .booking("k")
                        .start("k/0")
                        .complete(1, "k/0\nx")
                        .booking("k")
                        .complete(2, "k/0\ny")
            },
            {COMPLETE_BUT_NOT_STARTED, history().job("k", 2).start("k/0").complete(1, "k/0\nx", "k/1\nx")},
        };
    }

    @DataProvider
    public Object[][] invalidChanges() {
        return new Object[][] {
            {
                STARTED_IN_ZONE_OUT,
                history().check("k").out("thrissur", 2).pause(3).start("k/0")
            },
            {
                STARTED_IN_ZONE_OUT,
                history()
                        .check("k")
                        .in("thrissur", 1)
                        .out("thrissur", 2)
                        .pause(3)
                        .start("k/0")
                        .in("thrissur", 3)
            },
            {
                STARTED_IN_ZONE_OUT,
                history()
                        .check("k")
                        .out("thrissur", 2)
                        .in("kottayam", 3)
                        .pause(3)
                        .start("k/0")
            },
            {
                STARTED_AT_LEAVING_TARGET,
                history().check("k").left("thrissur").pause(3).start("k/0")
            },
            {VERSION_FELL, history().version("e", 1).version("e", 3).version("e", 2)},
            {CHANGE_LOST, history().out("thrissur", 2).kept(1, "op-1").kept(3, "op-3")},
            {CHANGE_LOST, history().out("thrissur", 2).kept(1, "op-1").kept(2, "op-9")},
            {CHANGE_APPLIED_TWICE, history().out("thrissur", 2).kept(2, "op-2").kept(3, "op-2")},
            {
                CUT_BY_STOP,
                history().booking("k").stopping("entry-1").answer(1, CLOSED).stopped("entry-1")
            },
            {
                CUT_BY_STOP,
                history()
                        .booking("k")
                        .start("k/0")
                        .stopping("agent-1")
                        .interrupted("k/0")
                        .stopped("agent-1")
            },
            {INVARIANT, history().invariant("event=invariant-violated")},
        };
    }

    @Test(dataProvider = "invalidStarts")
    public void shouldFindInvalidStarts(ViolationKind kind, HistoryBuilder history) {
        assertFinds(kind, history);
    }

    @Test(dataProvider = "invalidAnswers")
    public void shouldFindInvalidAnswers(ViolationKind kind, HistoryBuilder history) {
        assertFinds(kind, history);
    }

    @Test(dataProvider = "invalidChanges")
    public void shouldFindInvalidChanges(ViolationKind kind, HistoryBuilder history) {
        assertFinds(kind, history);
    }

    private static void assertFinds(ViolationKind kind, HistoryBuilder history) {
        List<Violation> violations = CHECKER.check(history.build());

        assertEquals(violations.stream().map(Violation::kind).toList(), List.of(kind));
        assertFalse(violations.get(0).evidence().isEmpty());
    }
}
