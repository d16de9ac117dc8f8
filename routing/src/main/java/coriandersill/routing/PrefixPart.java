package coriandersill.routing;

import java.util.Objects;

/**
 * A part of a prompt that engines may keep for later prompts, as its caller states it; both fields are unchecked.
 *
 * @param id identifies the content
 * @param tokens the length in tokens
 */
public record PrefixPart(String id, long tokens) {
    /** Rejects null. */
    public PrefixPart {
        Objects.requireNonNull(id, "id");
    }
}
