package org.teaselhook.net.http;

/**
 * What became of a request that the client sent.
 */
public sealed interface HttpResult permits HttpResult.Replied, HttpResult.NotSent, HttpResult.Lost {

    /**
     * The whole response arrived.
     *
     * @param reply the response
     */
    record Replied(HttpReply reply) implements HttpResult {}

    /**
     * No byte of the request was handed to a connection: the server cannot have seen it.
     *
     * @param reason what was seen
     */
    record NotSent(String reason) implements HttpResult {}

    /**
     * The request was sent, perhaps in part, and no whole response came in time: the server may have acted on it.
     *
     * @param reason what was seen
     */
    record Lost(String reason) implements HttpResult {}
}
