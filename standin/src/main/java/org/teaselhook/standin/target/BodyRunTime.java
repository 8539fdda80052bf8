package org.teaselhook.standin.target;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/** Run times taken from a number at the start of the task body, multiplied by a factor. */
record BodyRunTime(RunTime fallback, double factor) implements RunTime {

    private static final int MAX_NUMBER_LENGTH = 20;

    BodyRunTime {
        Objects.requireNonNull(fallback, "fallback is null");
    }

    @Override
    public double sampleMillis(RandomGenerator random) {
        return factor * fallback.sampleMillis(random);
    }

    @Override
    public double sampleMillisFor(byte[] body, RandomGenerator random) {
        OptionalDouble millis = leadingNumber(body);
        return millis.isPresent() ? factor * millis.getAsDouble() : sampleMillis(random);
    }

    @Override
    public RunTime scaledBy(double additionalFactor) {
        return new BodyRunTime(fallback, factor * additionalFactor);
    }

    private static OptionalDouble leadingNumber(byte[] body) {
        String text = new String(body, 0, Math.min(body.length, MAX_NUMBER_LENGTH), StandardCharsets.US_ASCII);
        int end = text.indexOf(' ');
        return end > 0 && text.substring(0, end).matches("[0-9]+(\\.[0-9]+)?")
                ? OptionalDouble.of(Double.parseDouble(text.substring(0, end)))
                : OptionalDouble.empty();
    }
}
