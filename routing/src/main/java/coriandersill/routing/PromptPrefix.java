package coriandersill.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The shared parts at the beginning of a prompt, in order. An engine that holds a part and all parts before it does not
 * read it again.
 *
 * @param parts at most {@link #MAX_PARTS} different parts, each of at least one token
 */
public record PromptPrefix(List<PrefixPart> parts) {
    /** More parts than prompts usually share; a bound for what one prompt can put into {@link HeldParts}. */
    public static final int MAX_PARTS = 16;

    /** For a prompt without shared parts. */
    public static final PromptPrefix NONE = new PromptPrefix(List.of());

    /** Copies the list. */
    public PromptPrefix {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the usable beginning of what a caller states: it ends before the first part that repeats another one,
     * whose length is not positive, or that would leave nothing of the prompt to read.
     *
     * @param promptTokens the length of the whole prompt
     */
    public static PromptPrefix of(List<PrefixPart> stated, int promptTokens) {
        List<PrefixPart> parts = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        long tokensLeft = promptTokens - 1L;
        for (PrefixPart part : stated) {
            boolean usable = part.tokens() > 0 && part.tokens() <= tokensLeft && ids.add(part.id());
            if (!usable || parts.size() == MAX_PARTS) {
                break;
            }
            parts.add(part);
            tokensLeft -= part.tokens();
        }
        return parts.isEmpty() ? NONE : new PromptPrefix(parts);
    }

    /** Returns whether the prompt has no usable shared part. */
    public boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns the length of all parts in tokens. */
    public long tokens() {
        return parts.stream().mapToLong(PrefixPart::tokens).sum();
    }
}
