package coriandersill.documents;

import coriandersill.configuration.Problem;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A decoded value, or all problems that were found in the input.
 *
 * @param value the value; empty if there are problems
 * @param problems all problems, in the order of decoding; empty if there is a value
 * @param <T> the type of the value
 */
public record Decoded<T>(Optional<T> value, List<Problem> problems) {

    /** Copies the problems and checks that no component is null. */
    public Decoded {
        Objects.requireNonNull(value, "value");
        problems = List.copyOf(problems);
    }

    /** Returns a result with a value. */
    public static <T> Decoded<T> of(T value) {
        return new Decoded<>(Optional.of(value), List.of());
    }

    /** Returns a result with problems and no value. */
    public static <T> Decoded<T> failed(List<Problem> problems) {
        return new Decoded<>(Optional.empty(), problems);
    }

    /**
     * Returns the value; throws {@link IllegalArgumentException}, whose message has one line per problem, if there is
     * none.
     */
    public T orThrow() {
        return value.orElseThrow(() -> new IllegalArgumentException(
                problems.stream().map(Problem::toString).collect(Collectors.joining("\n"))));
    }
}
