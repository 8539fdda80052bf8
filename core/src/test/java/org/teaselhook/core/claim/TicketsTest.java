package org.teaselhook.core.claim;

import java.util.List;
import java.util.Random;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class TicketsTest {

    private static final Incarnation SELF = Incarnation.of(1);
    private static final TicketLimits LIMITS = new TicketLimits(1_000, 5_000, 2);
    private static final long NOW = 1_000_000;
    private static final long DIGEST = 7;

    private Tickets tickets;
    private String ticket;

    @BeforeMethod
    public void issueTicket() {
        tickets = Tickets.of(SELF, new Random(1), LIMITS);
        ticket = tickets.issue(1, NOW).get(0);
    }

    // -- admit

    @DataProvider
    public Object[][] digests() {
        return new Object[][] {{DIGEST}, {0L}, {-1L}, {Long.MIN_VALUE}};
    }

    @Test(dataProvider = "digests")
    public void shouldAdmitOnce(long digest) {
        assertEquals(tickets.admit(ticket, digest, NOW), new TicketResult.Admitted());
        assertEquals(tickets.admit(ticket, digest, NOW), new TicketResult.AlreadyAdmitted());
        assertEquals(tickets.admit(ticket, digest + 5, NOW), new TicketResult.BodyMismatch());
    }

    @Test
    public void shouldReportIssuerOfTicketIssuedElsewhere() {
        Tickets other = Tickets.of(Incarnation.of(2), new Random(2), LIMITS);
        assertEquals(other.admit(ticket, DIGEST, NOW), new TicketResult.OtherIssuer(SELF));
    }

    @DataProvider
    public Object[][] forgedTickets() {
        return new Object[][] {
            {""},
            {"t1-0000000000000001"},
            {"t1-0000000000000000-0000000000000001-0000000000000001-" + "0".repeat(32)},
            {"t1-0000000000000001-7fffffffffffffff-0000000000000001-" + "0".repeat(32)},
        };
    }

    @Test(dataProvider = "forgedTickets")
    public void shouldRefuseForgedTicket(String text) {
        assertTrue(tickets.admit(text, DIGEST, NOW) instanceof TicketResult.Malformed);
    }

    @Test
    public void shouldRefuseTicketWithAlteredExpiry() {
        String altered = ticket.substring(0, 35) + (ticket.charAt(35) == '0' ? '1' : '0') + ticket.substring(36);
        assertTrue(tickets.admit(altered, DIGEST, NOW) instanceof TicketResult.Malformed);
    }

    @Test
    public void shouldRefuseTicketSignedWithOtherSecret() {
        Tickets otherSecret = Tickets.of(SELF, new Random(3), LIMITS);
        assertTrue(otherSecret.admit(ticket, DIGEST, NOW) instanceof TicketResult.Malformed);
    }

    // -- expiry

    @Test
    public void shouldReportWhetherExpiredTicketWasNeverAdmitted() {
        long expiry = NOW + LIMITS.lifetimeMillis();
        assertEquals(tickets.admit(ticket, DIGEST, expiry), new TicketResult.Expired(true));
        long pastRetention = expiry + LIMITS.retentionMillis();
        assertEquals(tickets.admit(ticket, DIGEST, pastRetention), new TicketResult.Expired(false));
    }

    @DataProvider
    public Object[][] steps() {
        return new Object[][] {{1L}, {100L}, {999L}, {4_000L}, {5_999L}};
    }

    @Test(dataProvider = "steps")
    public void shouldRetainAdmissionForRetentionTime(long stepMillis) {
        assertEquals(tickets.admit(ticket, DIGEST, NOW), new TicketResult.Admitted());
        long end = NOW + LIMITS.lifetimeMillis() + LIMITS.retentionMillis();
        for (long now = NOW; now < end; now += stepMillis) {
            assertEquals(
                    tickets.admit(ticket, DIGEST, now), new TicketResult.AlreadyAdmitted(), "after " + (now - NOW));
        }
    }

    @Test
    public void shouldNotAdmitAgainWhenClockStepsBack() {
        assertEquals(tickets.admit(ticket, DIGEST, NOW), new TicketResult.Admitted());
        long laterMillis = NOW + 100_000;
        tickets.admit(ticket, DIGEST, laterMillis);
        assertEquals(tickets.admit(ticket, DIGEST, NOW), new TicketResult.Expired(false));
    }

    // -- limits

    @Test
    public void shouldRefuseWhenFullAndAdmitAgainAfterRetentionTime() {
        List<String> issued = tickets.issue(3, NOW);
        tickets.admit(issued.get(0), DIGEST, NOW);
        tickets.admit(issued.get(1), DIGEST, NOW);
        assertEquals(tickets.admit(issued.get(2), DIGEST, NOW), new TicketResult.AtCapacity());
        assertEquals(tickets.admit(issued.get(0), DIGEST, NOW), new TicketResult.AlreadyAdmitted());
        long later = NOW + 20_000;
        assertEquals(tickets.admit(tickets.issue(1, later).get(0), DIGEST, later), new TicketResult.Admitted());
    }

    // -- abandon

    @Test
    public void shouldAdmitAgainAfterAbandon() {
        tickets.admit(ticket, DIGEST, NOW);
        tickets.abandon(ticket);
        assertEquals(tickets.admit(ticket, DIGEST, NOW), new TicketResult.Admitted());
    }
}
