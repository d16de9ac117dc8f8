package coriandersill.documents;

import coriandersill.configuration.Problem;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * What was read, or everything that is wrong with it.
 *
 * @param value the value; empty when there are problems
 * @param problems every problem found, in reading order; empty when there is a value
 * @param <T> the type that was read
 */
public record Decoded<T>(Optional<T> value, List<Problem> problems) {

    /** Copies the problems; refuses null. */
    public Decoded {
        Objects.requireNonNull(value, "value");
        problems = List.copyOf(problems);
    }

    /** Returns a value without problems. */
    public static <T> Decoded<T> of(T value) {
        return new Decoded<>(Optional.of(value), List.of());
    }

    /** Returns problems without a value. */
    public static <T> Decoded<T> failed(List<Problem> problems) {
        return new Decoded<>(Optional.empty(), problems);
    }

    /** Returns the value; throws {@link IllegalArgumentException} with every problem on a line of its own. */
    public T orThrow() {
        return value.orElseThrow(() -> new IllegalArgumentException(
                problems.stream().map(Problem::toString).collect(Collectors.joining("\n"))));
    }
}
