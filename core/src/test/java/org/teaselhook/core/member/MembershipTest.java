package org.teaselhook.core.member;

import java.util.List;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class MembershipTest {

    private static final long SECOND = 1_000_000_000L;

    // -- live

    @Test
    public void shouldNotListEntryWhoseRowNoLongerChanges() {
        Membership membership = Membership.empty();
        for (int second = 0; second <= 8; second += 2) {
            membership.scanned(List.of(member("a", second), member("b", 1)), second * SECOND);
        }

        assertEquals(membership.live(), List.of(member("a", 8)));
        membership.scanned(List.of(member("a", 9), member("b", 2)), 10 * SECOND);
        assertEquals(membership.live().size(), 2);
    }

    @Test
    public void shouldKeepLiveEntriesThroughOutageOfTableService() {
        Membership membership = Membership.empty();
        membership.scanned(List.of(member("a", 1)), 0);
        membership.scanned(List.of(member("a", 1)), 100 * SECOND);

        assertEquals(membership.live().size(), 1);
        membership.scanned(List.of(member("a", 1)), 102 * SECOND);
        membership.scanned(List.of(member("a", 1)), 104 * SECOND);
        assertEquals(membership.live(), List.of());
    }

    // -- expired

    @Test
    public void shouldExpireRowOnlyAfterRetentionTime() {
        Membership membership = Membership.empty();
        for (int second = 0; second < 60; second += 2) {
            membership.scanned(List.of(member("a", 1)), second * SECOND);
            assertEquals(membership.expired(), List.of());
        }
        membership.scanned(List.of(member("a", 1)), 60 * SECOND);

        assertEquals(membership.expired(), List.of(member("a", 1)));
    }

    private static Member member(String name, long beat) {
        return new Member(name, Incarnation.of(1), "thrissur", "127.0.0.1:1", "127.0.0.1:2", beat);
    }
}
