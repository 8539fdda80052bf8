package org.teaselhook.standin.target;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/** Run times that tasks name at the start of their bodies, multiplied by a factor. */
record BodyRunTime(RunTime otherwise, double factor) implements RunTime {

    private static final int LONGEST_NUMBER = 20;

    BodyRunTime {
        Objects.requireNonNull(otherwise, "otherwise is null");
    }

    @Override
    public double sampleMillis(RandomGenerator random) {
        return factor * otherwise.sampleMillis(random);
    }

    @Override
    public double millisOf(byte[] body, RandomGenerator random) {
        OptionalDouble named = leadingNumber(body);
        return named.isPresent() ? factor * named.getAsDouble() : sampleMillis(random);
    }

    @Override
    public RunTime times(double more) {
        return new BodyRunTime(otherwise, factor * more);
    }

    private static OptionalDouble leadingNumber(byte[] body) {
        String text = new String(body, 0, Math.min(body.length, LONGEST_NUMBER), StandardCharsets.US_ASCII);
        int end = text.indexOf(' ');
        return end > 0 && text.substring(0, end).matches("[0-9]+(\\.[0-9]+)?")
                ? OptionalDouble.of(Double.parseDouble(text.substring(0, end)))
                : OptionalDouble.empty();
    }
}
