package coriandersill.quarantine;

import java.util.Objects;
import java.util.Optional;

/**
 * A part of a prompt that several generations can share, such as a system prompt or a document.
 *
 * @param id identifies the content; 1 to {@link #MAX_ID_LENGTH} printable ASCII characters without spaces
 */
public record PromptPart(String id) implements Comparable<PromptPart> {
    /** The maximum length of an identifier, in characters. */
    public static final int MAX_ID_LENGTH = 64;

    /** Throws {@link IllegalArgumentException} if the identifier is invalid. */
    public PromptPart {
        Objects.requireNonNull(id, "id");
        if (!isValid(id)) {
            throw new IllegalArgumentException(
                    "prompt part: expected 1 to " + MAX_ID_LENGTH + " printable characters, found " + id.length());
        }
    }

    /** Returns the part with an identifier; throws {@link IllegalArgumentException} if it is invalid. */
    public static PromptPart of(String id) {
        return new PromptPart(id);
    }

    /** Returns the part with an identifier that a caller chose; empty if it is invalid. */
    public static Optional<PromptPart> parse(String id) {
        return isValid(id) ? Optional.of(new PromptPart(id)) : Optional.empty();
    }

    @Override
    public int compareTo(PromptPart other) {
        return id.compareTo(other.id);
    }

    @Override
    public String toString() {
        return id;
    }

    private static boolean isValid(String id) {
        return !id.isEmpty() && id.length() <= MAX_ID_LENGTH && id.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }
}
