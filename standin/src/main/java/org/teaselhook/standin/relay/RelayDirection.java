package org.teaselhook.standin.relay;

/** The direction of bytes through a relay. */
public enum RelayDirection {
    /** From the side that connects to the side that listens. */
    TO_SERVER,
    /** From the side that listens to the side that connects. */
    TO_CLIENT
}
