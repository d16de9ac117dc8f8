package coriandersill.entry.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.quarantine.PromptPart;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A request to the completions or the chat completions API.
 *
 * @param model the name of the service
 * @param stream whether the caller asks for server-sent events
 * @param maxTokens the maximum number of tokens to generate
 * @param prompt the text of the prompt, or of the messages in order
 * @param sharedParts the parts of the prompt that other prompts may share
 * @param session the session that the caller names in {@code user}, or an empty string
 * @param upstreamBody the request body for the upstream, always with {@code stream} set to true
 */
@SuppressWarnings("ArrayRecordComponent")
record CompletionRequest(
        String model,
        boolean stream,
        int maxTokens,
        String prompt,
        List<PromptPart> sharedParts,
        String session,
        byte[] upstreamBody) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DEFAULT_MAX_TOKENS = 4_096;

    /** The largest accepted value of {@code max_tokens}. */
    private static final int MAX_TOKENS_LIMIT = 200_000;

    /** The length to which a value is cut in an error message. */
    private static final int MAX_EXCERPT_CHARACTERS = 100;

    /** An estimate; the entry does not tokenize prompts. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Parses a body.
     *
     * @throws CallFailure {@code INVALID_REQUEST} with the field, the expected value and the value found
     */
    static CompletionRequest parse(byte[] body, boolean chat) {
        JsonNode tree = parseJson(body);
        if (!(tree instanceof ObjectNode object)) {
            throw invalid(
                    "body",
                    "a JSON object",
                    tree == null ? "nothing" : tree.getNodeType().toString());
        }
        JsonNode model = object.path("model");
        if (!model.isTextual()) {
            throw invalid("model", "the name of a service", model.toString());
        }
        boolean stream = booleanField(object, "stream");
        if (object.path("n").asInt(1) != 1) {
            throw invalid("n", "1", object.path("n").toString());
        }
        int maxTokens = maxTokens(object);
        List<String> messages = chat ? messageTexts(object) : List.of(promptText(object));
        String prompt = chat ? String.join("\n", messages) + "\n" : messages.get(0);
        List<PromptPart> sharedParts = chat ? PromptParts.ofMessages(messages) : PromptParts.ofText(prompt);
        object.put("stream", true);
        return new CompletionRequest(
                model.asText(),
                stream,
                maxTokens,
                prompt,
                sharedParts,
                object.path("user").asText(""),
                toBytes(object));
    }

    /** Returns the estimated length of the prompt in tokens, 1 or more. */
    int promptTokens() {
        return 1 + prompt.length() / CHARACTERS_PER_TOKEN;
    }

    private static JsonNode parseJson(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw CallFailure.of(ErrorKind.INVALID_REQUEST, "body: expected JSON, found " + firstLine(e.getMessage()));
        }
    }

    private static boolean booleanField(ObjectNode object, String field) {
        JsonNode value = object.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw invalid(field, "true or false", value.toString());
        }
        return value.asBoolean();
    }

    private static int maxTokens(ObjectNode object) {
        JsonNode value =
                object.has("max_completion_tokens") ? object.path("max_completion_tokens") : object.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.isInt() || value.asInt() < 1 || value.asInt() > MAX_TOKENS_LIMIT) {
            throw invalid("max_tokens", "an integer from 1 to " + MAX_TOKENS_LIMIT, value.toString());
        }
        return value.asInt();
    }

    private static String promptText(ObjectNode object) {
        JsonNode prompt = object.path("prompt");
        if (!prompt.isTextual()) {
            throw invalid("prompt", "a string", prompt.toString());
        }
        return prompt.asText();
    }

    private static List<String> messageTexts(ObjectNode object) {
        JsonNode messages = object.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw invalid("messages", "an array of one message or more", messages.toString());
        }
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < messages.size(); i++) {
            JsonNode message = messages.get(i);
            if (!message.path("role").isTextual()) {
                throw invalid(
                        "messages[" + i + "].role",
                        "a string",
                        message.path("role").toString());
            }
            JsonNode content = message.path("content");
            texts.add(content.isTextual() ? content.asText() : content.toString());
        }
        return texts;
    }

    private static byte[] toBytes(ObjectNode object) {
        try {
            return MAPPER.writeValueAsBytes(object);
        } catch (JsonProcessingException e) {
            throw CallFailure.of(ErrorKind.INVALID_REQUEST, "body: expected JSON that can be written again");
        }
    }

    private static CallFailure invalid(String field, String expected, String found) {
        String excerpt =
                found.isEmpty() ? "nothing" : found.substring(0, Math.min(found.length(), MAX_EXCERPT_CHARACTERS));
        return CallFailure.of(ErrorKind.INVALID_REQUEST, field + ": expected " + expected + ", found " + excerpt);
    }

    private static String firstLine(String text) {
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }
}
