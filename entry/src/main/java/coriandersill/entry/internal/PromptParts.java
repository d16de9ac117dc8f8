package coriandersill.entry.internal;

import coriandersill.quarantine.PromptPart;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Identifies the parts of a prompt that other prompts may share, by hashes of their content. */
final class PromptParts {
    private static final int MAX_PARTS = 64;

    /** The length of a part of a prompt without messages, in characters; a rest that is shorter is not shared. */
    private static final int BLOCK_CHARACTERS = 1_024;

    private PromptParts() {}

    /** Returns the parts of a list of messages: all but the last, which is the call's own. */
    static List<PromptPart> ofMessages(List<String> messages) {
        return messages.subList(0, Math.max(0, messages.size() - 1)).stream()
                .limit(MAX_PARTS)
                .map(PromptParts::part)
                .toList();
    }

    /** Returns the parts of a text: its complete blocks, since prompts mostly share their beginning. */
    static List<PromptPart> ofText(String text) {
        List<PromptPart> parts = new ArrayList<>();
        for (int end = BLOCK_CHARACTERS; end <= text.length() && parts.size() < MAX_PARTS; end += BLOCK_CHARACTERS) {
            parts.add(part(text.substring(end - BLOCK_CHARACTERS, end)));
        }
        return parts;
    }

    private static PromptPart part(String content) {
        return PromptPart.of(Long.toHexString(Hashes.sha256Prefix(content.getBytes(StandardCharsets.UTF_8))));
    }
}
