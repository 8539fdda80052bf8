package org.teaselhook.net.http;

/**
 * The bounds of an HTTP server.
 *
 * @param maxBodyBytes the greatest size of a request's body
 * @param maxConnections the greatest number of open connections; further ones are closed at once
 * @param idleTimeoutMillis the time after which a connection without a request in progress is closed
 */
public record HttpLimits(int maxBodyBytes, int maxConnections, long idleTimeoutMillis) {

    private static final HttpLimits STANDARD = new HttpLimits(8 * 1024 * 1024, 10_000, 60_000);

    /**
     * Returns limits.
     *
     * @param maxBodyBytes the greatest size of a request's body
     * @param maxConnections the greatest number of open connections
     * @param idleTimeoutMillis the time after which an idle connection is closed
     * @return the limits
     */
    public static HttpLimits of(int maxBodyBytes, int maxConnections, long idleTimeoutMillis) {
        return new HttpLimits(maxBodyBytes, maxConnections, idleTimeoutMillis);
    }

    /**
     * Returns the usual limits: 8 MiB, 10,000 connections, 60 s.
     *
     * @return the limits
     */
    public static HttpLimits standard() {
        return STANDARD;
    }
}
