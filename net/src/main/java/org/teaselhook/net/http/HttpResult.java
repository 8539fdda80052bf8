package org.teaselhook.net.http;

/**
 * The outcome of a request that was passed to {@link HttpClient}.
 */
public sealed interface HttpResult permits HttpResult.Replied, HttpResult.NotSent, HttpResult.Lost {

    /**
     * The complete response arrived.
     *
     * @param reply the response
     */
    record Replied(HttpReply reply) implements HttpResult {}

    /**
     * No byte of the request was written to a connection: the server cannot have received it.
     *
     * @param reason why it was not sent
     */
    record NotSent(String reason) implements HttpResult {}

    /**
     * The request was sent, possibly in part, and no complete response arrived in time. The server may have acted on
     * it.
     *
     * @param reason why there is no response
     */
    record Lost(String reason) implements HttpResult {}
}
