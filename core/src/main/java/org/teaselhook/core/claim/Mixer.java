package org.teaselhook.core.claim;

/**
 * A mixing function on 64 bits whose results are the same in every process.
 */
final class Mixer {

    static final long OFFSET = 0x9e3779b97f4a7c15L;

    private Mixer() {}

    static long mix(long value) {
        long z = value + OFFSET;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
