package coriandersill.duties;

import java.util.Collection;

/** The median of whole numbers. */
final class Medians {
    private Medians() {}

    /**
     * Returns the median, the lower of two if their number is even.
     *
     * @throws IllegalArgumentException if there are none
     */
    static long of(Collection<Long> values) {
        if (values.isEmpty()) {
            throw new IllegalArgumentException("expected at least one value");
        }
        return values.stream()
                .sorted()
                .skip((values.size() - 1) / 2)
                .findFirst()
                .orElseThrow();
    }
}
