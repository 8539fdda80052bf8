package org.teaselhook.net.http;

/**
 * The limits of an HTTP server.
 *
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param maxConnections the maximum number of open connections; further ones are closed at once
 * @param idleTimeoutMillis the time after which a connection without a request in progress is closed
 */
public record HttpLimits(int maxBodyBytes, int maxConnections, long idleTimeoutMillis) {

    private static final HttpLimits STANDARD = new HttpLimits(8 * 1024 * 1024, 10_000, 60_000);

    /**
     * Returns limits.
     *
     * @param maxBodyBytes the maximum size of a request's body, in bytes
     * @param maxConnections the maximum number of open connections
     * @param idleTimeoutMillis the time after which an idle connection is closed
     * @return the limits
     */
    public static HttpLimits of(int maxBodyBytes, int maxConnections, long idleTimeoutMillis) {
        return new HttpLimits(maxBodyBytes, maxConnections, idleTimeoutMillis);
    }

    /**
     * Returns the default limits: 8 MiB, 10,000 connections, 60 s.
     *
     * @return the limits
     */
    public static HttpLimits standard() {
        return STANDARD;
    }
}
