package org.teaselhook.node.caller;

/**
 * One task as received from the caller. The body array must not be modified.
 *
 * @param kind the kind's name
 * @param contentType the media type of the body, possibly empty
 * @param body the body's bytes
 */
public record TaskBody(String kind, String contentType, byte[] body) {}
