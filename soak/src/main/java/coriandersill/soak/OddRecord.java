package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Random;

/**
 * A record of another writer that names nothing that an entry could use.
 *
 * @param topic the topic, one of those that entries read
 * @param key the key, at most 255 bytes, which need not be UTF-8
 * @param value the value, which may be empty
 */
record OddRecord(String topic, Buffer key, Buffer value) {
    private static final int MAX_KEY_BYTES = 255;
    private static final int MAX_DEPTH = 50_000;
    private static final int MAX_VALUE_BYTES = 200_000;

    /** The size of the largest record that the platform's store accepts. */
    private static final int MAX_RECORD_BYTES = 262_144;

    private static final int MEGABYTE = 1 << 20;
    private static final int LONG_NAME_CHARACTERS = 10_000;

    /** Parts of keys; the first two are the keys of an incident. */
    private static final List<String> KEYS = List.of(
            "ağ-yedek-c483",
            "../928e x/..",
            "",
            " ",
            "/",
            "//",
            "a b",
            "u\u0000",
            "\n",
            "\u007f\u001b[2J",
            "schlüssel",
            "サーバ-1",
            "\ud83d\ude00",
            "{\"a\":1}",
            "null",
            "%2e%2e%2f",
            "?topic=x&after=z",
            "u0 ",
            "U0");

    /** The beginnings of keys that have a meaning in some topic. */
    private static final List<String> PREFIXES =
            List.of("", "", "", "rollout/", "evacuate/", "entry/", "part/", "crash/", "slow/", "evidence/");

    private static final List<String> STATES = List.of("\"\"", "\"READY\"", "\"resting\"", "7", "null", "[]");
    private static final List<String> FIELDS =
            List.of("service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence", "born");
    private static final List<String> FIELD_VALUES =
            List.of("null", "[]", "{}", "true", "-1", "1e400", "\"\"", "\"\\u0000\"", "\"127.0.0.1:99999\"");

    static OddRecord draw(Random random) {
        List<String> topics = PlatformFixtures.READ_TOPICS;
        return new OddRecord(topics.get(random.nextInt(topics.size())), drawKey(random), drawValue(random));
    }

    /** Returns a record whose value is as large as the store accepts, or larger. */
    static OddRecord drawLarge(Random random) {
        List<String> topics = PlatformFixtures.READ_TOPICS;
        return new OddRecord(topics.get(random.nextInt(topics.size())), drawKey(random), drawLargeValue(random));
    }

    /** Returns a large value that is no proper record of any topic. */
    static Buffer drawLargeValue(Random random) {
        return switch (random.nextInt(7)) {
            case 0 -> Buffer.buffer(" ".repeat(MEGABYTE));
            case 1 -> Buffer.buffer(new byte[MEGABYTE]);
            case 2 -> randomBytes(random, MAX_RECORD_BYTES);
            case 3 -> Buffer.buffer("{\"zone\":" + deep(MAX_RECORD_BYTES / 2) + "}");
            case 4 -> listing("service", '"' + "s".repeat(LONG_NAME_CHARACTERS) + '"');
            case 5 -> listing("zone", '"' + "z/../".repeat(MAX_RECORD_BYTES / 5) + '"');
            default -> manyFields();
        };
    }

    private static Buffer manyFields() {
        JsonObject fields = new JsonObject();
        for (int i = 0; i < MAX_RECORD_BYTES / 16; i++) {
            fields.put("field-" + i, i);
        }
        return fields.toBuffer();
    }

    private static Buffer drawKey(Random random) {
        String prefix = PREFIXES.get(random.nextInt(PREFIXES.size()));
        String part = KEYS.get(random.nextInt(KEYS.size()));
        return switch (random.nextInt(6)) {
            case 0 -> Buffer.buffer(part);
            case 1 -> randomBytes(random, 1 + random.nextInt(MAX_KEY_BYTES));
            case 2 -> Buffer.buffer((prefix + part + "x".repeat(MAX_KEY_BYTES)).substring(0, MAX_KEY_BYTES / 3));
            case 3 -> Buffer.buffer("k".repeat(MAX_KEY_BYTES - 1) + random.nextInt(10));
            default -> Buffer.buffer(prefix + part + random.nextInt(1_000));
        };
    }

    /** Returns a value that is no proper record of any topic; an empty one deletes its key. */
    static Buffer drawValue(Random random) {
        return switch (random.nextInt(12)) {
            case 0 -> Buffer.buffer();
            case 1 -> Buffer.buffer("null");
            case 2 -> Buffer.buffer("[]");
            case 3 -> Buffer.buffer(
                    List.of("7", "true", "\"ready\"", "{}", "-0", "{", "\u0000").get(random.nextInt(7)));
            case 4 -> Buffer.buffer("[".repeat(1 + random.nextInt(MAX_DEPTH)));
            case 5 -> Buffer.buffer("{\"zone\":" + deep(1 + random.nextInt(MAX_DEPTH)) + "}");
            case 6 -> Buffer.buffer("{\"zone\":\"" + "z".repeat(random.nextInt(MAX_VALUE_BYTES)) + "\"}");
            case 7 -> randomBytes(random, 1 + random.nextInt(300));
            case 8 -> listing("state", STATES.get(random.nextInt(STATES.size())));
            case 9 -> listing("service", "\"service-" + random.nextInt(10) + "\"");
            case 10 -> {
                Buffer whole = listing("zone", "\"a\"");
                yield whole.getBuffer(0, random.nextInt(whole.length()));
            }
            default -> listing(
                    FIELDS.get(random.nextInt(FIELDS.size())), FIELD_VALUES.get(random.nextInt(FIELD_VALUES.size())));
        };
    }

    private static String deep(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    /** Returns a listing of an unknown service at a port without a listener, with one field replaced. */
    private static Buffer listing(String field, String json) {
        JsonObject listing = new JsonObject(PlatformFixtures.listing("elsewhere", 9, false));
        return Buffer.buffer(listing.put(field, "REPLACED").encode().replace("\"REPLACED\"", json));
    }

    private static Buffer randomBytes(Random random, int count) {
        byte[] drawn = new byte[count];
        random.nextBytes(drawn);
        return Buffer.buffer(drawn);
    }

    /** Returns a description for the list of faults, of limited length. */
    String description() {
        String text = key.toString();
        return "odd record in " + topic + " under \""
                + text.substring(0, Math.min(30, text.length())).replaceAll("\\p{Cntrl}", "?")
                + "\", " + value.length() + " bytes";
    }
}
