package org.teaselhook.core.claim;

/**
 * The mixing function of the generator SplitMix64. Its results are the same in every process.
 */
final class SplitMix64 {

    static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    private SplitMix64() {}

    static long mix(long value) {
        long z = value + GOLDEN_GAMMA;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
