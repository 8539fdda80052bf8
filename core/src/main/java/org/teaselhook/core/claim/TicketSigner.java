package org.teaselhook.core.claim;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Computes and verifies the message authentication codes of tickets, with a random secret per process.
 */
final class TicketSigner {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int SECRET_BYTES = 32;
    private static final int MAC_BYTES = 16;

    private final SecretKeySpec secret;

    private TicketSigner(SecretKeySpec secret) {
        this.secret = secret;
    }

    static TicketSigner withRandomSecret(RandomGenerator random) {
        byte[] bytes = new byte[SECRET_BYTES];
        random.nextBytes(bytes);
        return new TicketSigner(new SecretKeySpec(bytes, ALGORITHM));
    }

    Ticket sign(Ticket ticket) {
        return new Ticket(ticket.issuer(), ticket.expiryMillis(), ticket.nonce(), mac(ticket));
    }

    boolean hasValidMac(Ticket ticket) {
        byte[] expected = mac(ticket).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(expected, ticket.mac().getBytes(StandardCharsets.US_ASCII));
    }

    private String mac(Ticket ticket) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(secret);
            byte[] fullMac = mac.doFinal(ticket.signedPart().getBytes(StandardCharsets.US_ASCII));
            return HexFormat.of().formatHex(Arrays.copyOf(fullMac, MAC_BYTES));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime lacks " + ALGORITHM, e);
        }
    }
}
